"""HTTP/1.1 server of a node."""

import asyncio
import heapq
import socket
from collections.abc import Callable
from math import ceil, inf
from operator import attrgetter

from rattanfork_core.clock import Clock
from rattanfork_core.connections import RequestBudget, ResponseBudget

from rattanfork_node.http1.connection_end import (
    ConnectionEndObserver,
    IgnoredEnds,
)
from rattanfork_node.http1.exchange import Exchange
from rattanfork_node.http1.handler import RequestHandler
from rattanfork_node.http1.headers import HeaderNames
from rattanfork_node.http1.input_pacer import InputPacer
from rattanfork_node.http1.limits import RequestLimits
from rattanfork_node.http1.request_head import HeaderFilter
from rattanfork_node.http1.server_connection import ServerConnection
from rattanfork_node.http1.upload import UploadResources

#: Receive buffer of a connection at a node with routes of uploads, in bytes.  It
#: bounds what is read together with the head of an upload, before reading can be
#: paused: of 300 at once, 24 MB with the system's default and with 64 KiB, at most
#: 14 MB with 32 KiB.  32 KiB per round trip of 1 ms exceed a link of 100 Mbit/s.
_RECEIVE_BUFFER_BYTES = 32 << 10
#: Status of a request whose handler failed.
_FAILED_STATUS = 502
#: Bytes of connections and requests without a memory limit.
_MAX_REQUEST_BYTES = 128 << 20
#: Part of the connections that is closed at once if there are too many, 1 / the
#: divisor: the choice looks at all of them.
_CLOSED_DIVISOR = 32


class HttpServer:
    """Listens on one address and owns the connections of its clients.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    names : HeaderNames
        Names of the headers to read and to strip.
    limits : RequestLimits
        Size limits and time-outs.
    handler : RequestHandler
        Handles the requests.
    uploads : UploadResources or None
        Budget for large bodies; None if all bodies are read before their requests
        are handled.
    unsent : ResponseBudget, optional
        Budget for the responses that clients have not read yet.
    requests : RequestBudget, optional
        Budget for the requests that clients are sending or wait for.
    pacer : InputPacer, optional
        Gives the turns in which fragmented input is parsed; None if all input is
        parsed as it is received.
    """

    def __init__(
        self,
        clock: Clock,
        names: HeaderNames,
        limits: RequestLimits,
        handler: RequestHandler,
        uploads: UploadResources | None = None,
        unsent: ResponseBudget | None = None,
        requests: RequestBudget | None = None,
        pacer: InputPacer | None = None,
    ) -> None:
        self.clock = clock
        self.names = names
        self.limits = limits
        self.handler = handler
        self.uploads = uploads
        self.unsent = ResponseBudget() if unsent is None else unsent
        self.requests = RequestBudget(_MAX_REQUEST_BYTES)
        if requests is not None:
            self.requests = requests
        self.pacer = pacer
        self.header_filter = HeaderFilter(names)
        #: Returns the maximum number of connections.
        self.max_connections: Callable[[], float] = lambda: inf
        #: Called with each exception that the handler raises.
        self.on_error: Callable[[Exception], None] = _raise
        #: Is told of connections that end with something unfinished.
        self.ends: ConnectionEndObserver = IgnoredEnds()
        self.connections: set[ServerConnection] = set()
        #: Number of connections that were accepted.
        self.accepted = 0
        self.leaving = False
        self._listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024
        )

    def limit_receive_buffers(self) -> None:
        """Limit what the kernel holds of the requests on new connections."""
        if self._listener is None:
            return
        for listening in self._listener.sockets:
            # Connections inherit the size from the listening socket.
            listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )

    @property
    def in_flight(self) -> int:
        """Number of requests that were received and not yet answered."""
        return sum(len(c.pending) for c in self.connections)

    @property
    def pending(self) -> list[Exchange]:
        """Requests that were received and not yet answered."""
        return [e for c in self.connections for e in c.pending if not e.answered]

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that clients have not read yet."""
        return sum(c.unsent_bytes for c in self.connections)

    @property
    def undelivered_bytes(self) -> int:
        """Bytes of responses that clients have not acknowledged."""
        return sum(c.undelivered_bytes for c in self.connections)

    @property
    def unread_connections(self) -> int:
        """Number of connections with unread responses, or with input that waits."""
        return sum(c.is_unfinished for c in self.connections)

    def admit(self, connection: ServerConnection) -> None:
        """Register a new connection; close others if there are too many.

        Those without a request are closed first, then those within one that has not
        been received whole, then those that leave a response unread, in each case the
        longest inactive first.  If all others wait for a response, the new one is
        closed.
        """
        self.accepted += 1
        self.connections.add(connection)
        if len(self.connections) > self.max_connections():
            self._close_excess(connection)

    def sweep(self) -> None:
        """Close idle and slow connections; call twice a second."""
        now = self.clock.now()
        for connection in list(self.connections):
            connection.check_time(now)
        if len(self.connections) > self.max_connections():
            self._close_excess(None)

    def leave(self) -> None:
        """Close each connection once its received requests are answered."""
        self.leaving = True
        for connection in list(self.connections):
            connection.leave()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.stop()

    def refuse_incomplete(self) -> None:
        """Refuse requests that are not received whole, until there is room again."""
        incomplete = [c for c in self.connections if c.usage.incomplete]
        incomplete.sort(key=lambda c: c.usage.incomplete_cost, reverse=True)
        excess = self.requests.excess
        for connection in incomplete:
            if excess <= 0:
                return
            excess -= connection.usage.incomplete
            connection.refuse_incomplete()

    def handle(self, exchange: Exchange) -> None:
        """Pass a request to the handler; answer it if that fails unexpectedly."""
        try:
            self.handler.on_request(exchange)
        except Exception as error:
            self.on_error(error)
            # Whether it was passed on is unknown.
            exchange.respond(_FAILED_STATUS)

    def count_refusal(self) -> None:
        """Count a request that is refused for want of memory."""
        self._count("callers.refused.memory")

    def _close_excess(self, newest: ServerConnection | None) -> None:
        # Those that were closed for others remain registered for a moment.
        kept = [c for c in self.connections if not c.is_dropped]
        excess = len(kept) - self.max_connections()
        if excess <= 0:
            return
        unused = [c for c in kept if c is not newest and not c.pending]
        count = max(ceil(excess), len(kept) // _CLOSED_DIVISOR)
        for connection in heapq.nsmallest(count, unused, key=attrgetter("drop_order")):
            self._drop(connection)
        if newest is not None and not unused:
            self._drop(newest)

    def _drop(self, connection: ServerConnection) -> None:
        self._count("callers.dropped")
        connection.drop()

    def _count(self, event: str) -> None:
        if self.uploads is not None:
            self.uploads.events[event] += 1


def _raise(error: Exception) -> None:
    raise error
