"""Call path, first stage: HTTP server of the project's own interface.

Serves ``/SERVICE/OPERATION`` with ``Rattanfork-`` headers on the ``edge_port``, to
callers and to this node's upstream for its child calls.  Parsed requests go to
:mod:`rattanfork_node.call_ingress`.  The HTTP server of the route path (package
:mod:`rattanfork_node.relay`) is in :mod:`rattanfork_node.http1`.
"""

from rattanfork_node.edge.parse import BadRequestError, parse_request
from rattanfork_node.edge.render import render_result
from rattanfork_node.edge.server import CallServer

__all__ = ["BadRequestError", "CallServer", "parse_request", "render_result"]
