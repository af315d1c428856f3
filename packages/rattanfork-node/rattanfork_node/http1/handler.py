"""Who takes the requests of a server."""

from abc import ABC, abstractmethod

from rattanfork_node.http1.exchange import Exchange


class RequestHandler(ABC):
    """Takes the requests of a server."""

    @abstractmethod
    def on_request(self, exchange: Exchange) -> None:
        """Take a request that was read whole."""
