"""Interface between an HTTP server and the code that handles its requests."""

from abc import ABC, abstractmethod

from rattanfork_node.http1.exchange import Exchange


class RequestHandler(ABC):
    """Handles the requests that an :class:`HttpServer` receives."""

    @abstractmethod
    def on_request(self, exchange: Exchange) -> None:
        """Handle a completely received request."""
