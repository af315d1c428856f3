"""The guard: the only part that hands requests to the upstream."""

from rattanfork_node.call_gate.gate import CallGate
from rattanfork_node.call_gate.request import GateRequest
from rattanfork_node.call_gate.upstream_client import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRefusedError,
    UpstreamShedError,
    UpstreamTooLargeError,
)

__all__ = [
    "CallGate",
    "GateRequest",
    "UpstreamAnswer",
    "UpstreamClient",
    "UpstreamRefusedError",
    "UpstreamShedError",
    "UpstreamTooLargeError",
]
