"""The side of a node that clients connect to."""

import asyncio

from rattanfork_core.clock import Clock

from rattanfork_node.http1.handler import RequestHandler
from rattanfork_node.http1.headers import HeaderNames
from rattanfork_node.http1.limits import RequestLimits
from rattanfork_node.http1.server_connection import ServerConnection


class HttpServer:
    """One listening address and its connections.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    names : HeaderNames
        Headers to read.
    limits : RequestLimits
        Bounds on what clients may send.
    handler : RequestHandler
        Takes the requests.
    """

    def __init__(
        self,
        clock: Clock,
        names: HeaderNames,
        limits: RequestLimits,
        handler: RequestHandler,
    ) -> None:
        self.clock = clock
        self.names = names
        self.limits = limits
        self.handler = handler
        self.stripped = names.stripped_from_requests()
        self.request_id_name = names.request_id.lower()
        self.deadline_name = names.deadline.lower()
        self.key_name = names.key.lower()
        self.connections: set[ServerConnection] = set()
        self.leaving = False
        self._listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024
        )

    @property
    def in_flight(self) -> int:
        """Requests that were read and not answered yet."""
        return sum(len(c.pending) for c in self.connections)

    def sweep(self) -> None:
        """Close connections that are idle or too slow; call twice a second."""
        now = self.clock.now()
        for connection in list(self.connections):
            connection.check_time(now)

    def leave(self) -> None:
        """Close each connection after what it has been asked already."""
        self.leaving = True
        for connection in list(self.connections):
            connection.leave()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.close()
