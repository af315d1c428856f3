"""Call path, last stage: admission gate and client of this node's upstream.

The call path serves the project's own interface: HTTP requests for
``/SERVICE/OPERATION`` with ``Rattanfork-`` headers.  A request goes through the
packages :mod:`~rattanfork_node.edge` (HTTP server),
:mod:`~rattanfork_node.call_ingress` (rules, choice of the instance, retries) and
this one, the last two connected by :mod:`~rattanfork_node.peer` if the instance
is at another node.  Routed requests take the route path, package
:mod:`~rattanfork_node.relay`, with its own admission gate.
"""

from rattanfork_node.call_gate.gate import CallGate
from rattanfork_node.call_gate.request import GateRequest
from rattanfork_node.call_gate.upstream_client import (
    ResponseTooLargeError,
    UpstreamClient,
    UpstreamConnectError,
    UpstreamResponse,
    UpstreamShedError,
)

__all__ = [
    "CallGate",
    "GateRequest",
    "UpstreamResponse",
    "UpstreamClient",
    "UpstreamConnectError",
    "UpstreamShedError",
    "ResponseTooLargeError",
]
