"""HTTP handler for readiness checks of a node."""

from collections.abc import Callable

from rattanfork_node.http1 import Exchange
from rattanfork_node.http1.handler import RequestHandler


class ReadinessHandler(RequestHandler):
    """Responds 200 while the node accepts new requests, and 503 otherwise.

    Parameters
    ==========

    is_ready : callable
        Returns whether new requests are accepted.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def on_request(self, exchange: Exchange) -> None:
        """Respond with the current readiness."""
        exchange.respond(200 if self._is_ready() else 503)
