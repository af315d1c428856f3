"""Interface between an HTTP server and the code that handles its requests."""

from abc import ABC, abstractmethod

from rattanfork_node.http1.exchange import Exchange


class RequestHandler(ABC):
    """Handles the requests that an :class:`HttpServer` receives."""

    @abstractmethod
    def on_request(self, exchange: Exchange) -> None:
        """Handle a completely received request."""

    def on_head(self, exchange: Exchange) -> bool:
        """Take over a request with a large body before the body is read.

        Returns
        =======

        bool
            Whether the request was taken over; otherwise :meth:`on_request` gets it
            with its body.  One whose ``upload.is_counted`` is set is offered on all
            routes; others are, too, if they may be uploads.  A handler that takes a
            request over sets ``on_refused`` of ``exchange.upload``, and then responds
            or calls its ``read``.
        """
        return False
