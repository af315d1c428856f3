"""HTTP towards callers and the upstream's own calls."""

from rattanfork_node.edge.parse import BadRequestError, parse_request
from rattanfork_node.edge.render import render_result
from rattanfork_node.edge.server import CallServer

__all__ = ["BadRequestError", "CallServer", "parse_request", "render_result"]
