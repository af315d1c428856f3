"""HTTP client for single requests to one server, such as the store."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import count

from rattanfork_core.clock import Clock

from rattanfork_node.http1.awaitable import acquire_connection, send_request
from rattanfork_node.http1.input_pacer import InputPacer
from rattanfork_node.http1.pool import UpstreamPool
from rattanfork_node.http1.render import render_head
from rattanfork_node.http1.upstream_response import UpstreamResponse

_MAX_CONNECTIONS = 8


@dataclass(slots=True)
class PendingRequest:
    """A request that has not been answered yet.

    Parameters
    ==========

    target : bytes
        Path and query.
    since : float
        Time at which it was made, in seconds of the client's clock.
    connection_idle : float or None
        Seconds for which its connection was idle before it was sent; 0 for a new
        connection, None while the request waits for a connection.
    """

    target: bytes
    since: float
    connection_idle: float | None = None


class HttpClient:
    """Sends requests to one server and awaits the responses.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    host : str
        Address of the server.
    port : int
        Port of the server.
    captured : frozenset of bytes
        Lower-case names of the headers to include in
        :attr:`UpstreamResponse.headers`.
    pacer : InputPacer, optional
        Grants turns to the connections with fragmented input; one of its own by
        default.
    """

    def __init__(
        self,
        clock: Clock,
        host: str,
        port: int,
        captured: frozenset[bytes] = frozenset(),
        pacer: InputPacer | None = None,
    ) -> None:
        self._clock = clock
        self._pending: dict[int, PendingRequest] = {}
        self._numbers = count()
        self._host_line = f"Host: {host}:{port}\r\n".encode()
        self._pool = UpstreamPool(
            clock, host, port, _MAX_CONNECTIONS, b"-", captured, pacer=pacer
        )

    @property
    def pending(self) -> tuple[PendingRequest, ...]:
        """Requests that have not been answered yet, oldest first."""
        return tuple(self._pending.values())

    async def request(
        self,
        method: bytes,
        target: bytes,
        body: bytes = b"",
        timeout: float = 1.0,
        block: bytes = b"",
    ) -> UpstreamResponse:
        """Send a request and return its response.

        Raises
        ======

        ConnectionError
            If no connection could be opened, or it closed before the response was
            complete.
        TimeoutError
            If no response came in time; the server may have processed the request.
        """
        with self._track_pending(target) as pending:
            try:
                async with asyncio.timeout(timeout):
                    response = await self._exchange(
                        method, target, body, block, pending
                    )
            except TimeoutError:
                # A server or middlebox that dropped the state of one connection has
                # probably dropped that of others; each would let another request
                # run into its time-out.
                self._pool.drop_idle()
                raise
        if response is None:
            raise ConnectionError("connection closed before the response was complete")
        return response

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    @contextmanager
    def _track_pending(self, target: bytes) -> Iterator[PendingRequest]:
        number = next(self._numbers)
        pending = self._pending[number] = PendingRequest(target, self._clock.now())
        try:
            yield pending
        finally:
            del self._pending[number]

    async def _exchange(
        self,
        method: bytes,
        target: bytes,
        body: bytes,
        block: bytes,
        pending: PendingRequest,
    ) -> UpstreamResponse | None:
        connection = await acquire_connection(self._pool)
        pending.connection_idle = self._clock.now() - connection.idle_since
        block = self._host_line + block
        head = render_head(method, target, block, len(body), b"")
        return await send_request(connection, head + body)
