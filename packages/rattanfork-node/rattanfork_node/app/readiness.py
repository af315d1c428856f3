"""Answers whether this node takes new work."""

from collections.abc import Callable

from rattanfork_node.http1 import Exchange
from rattanfork_node.http1.handler import RequestHandler


class ReadinessHandler(RequestHandler):
    """Answers 200 while the node takes new work, and 503 otherwise.

    Parameters
    ==========

    is_ready : callable
        Whether new work is taken.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def on_request(self, exchange: Exchange) -> None:
        """Answer."""
        exchange.respond(200 if self._is_ready() else 503)
