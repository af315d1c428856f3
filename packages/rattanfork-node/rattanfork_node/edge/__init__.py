"""HTTP towards callers and the upstream's own calls."""

from rattanfork_node.edge.edge import Edge
from rattanfork_node.edge.parse import BadRequestError, parse_request
from rattanfork_node.edge.render import render_result

__all__ = ["BadRequestError", "Edge", "parse_request", "render_result"]
