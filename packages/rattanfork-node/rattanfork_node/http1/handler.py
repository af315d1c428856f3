"""Interface between an HTTP server and the code that handles its requests."""

from abc import ABC, abstractmethod

from rattanfork_node.http1.exchange import Exchange


class RequestHandler(ABC):
    """Handles the requests that an :class:`HttpServer` receives."""

    @abstractmethod
    def on_request(self, exchange: Exchange) -> None:
        """Handle a completely received request."""

    def on_head(self, exchange: Exchange) -> bool:
        """Take over a request with a large body from its head, if the route wants it.

        Returns
        =======

        bool
            Whether the request was taken over; otherwise :meth:`on_request` gets it
            with its body.  A handler that takes it over sets ``on_refused`` of
            ``exchange.upload``, and then responds or calls its ``read``.
        """
        return False
