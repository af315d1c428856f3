"""Connections to one upstream."""

import asyncio
from collections.abc import Callable

from rattanfork_core.clock import Clock
from rattanfork_core.connections import IdleLimit

from rattanfork_node.http1.upstream import UpstreamConnection

#: Seconds that a new connection may take; the upstream is on this instance.
_CONNECT_TIMEOUT = 1.0


class UpstreamPool:
    """Connections to one upstream.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    host : str
        Address of the upstream.
    port : int
        Its port.
    most : int
        Connections that the upstream takes.
    id_name : bytes
        Header in which answers echo the request ID.
    noted : frozenset of bytes
        Lower-case names of headers whose values are handed over.
    """

    def __init__(
        self,
        clock: Clock,
        host: str,
        port: int,
        max_connections: int,
        id_name: bytes,
        captured: frozenset[bytes],
    ) -> None:
        self._clock = clock
        self._address = (host, port)
        self._most = max_connections
        self._id_name = id_name.lower()
        self._noted = captured
        self._idle: list[UpstreamConnection] = []
        self._open: set[UpstreamConnection] = set()
        self._connecting: set[asyncio.Task] = set()
        self._closed = False
        self._rest = IdleLimit(clock)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the upstream."""
        return self._address

    @property
    def open_connections(self) -> int:
        """Connections that are open."""
        return len(self._open)

    def acquire(
        self,
        taken: Callable[[UpstreamConnection | None], None],
        retryable: bool = True,
    ) -> None:
        """Find a connection; ``taken`` gets it, or None if there is none.

        It is called at once if one is idle.  What is not ``retryable`` gets a
        connection that has hardly rested, or a new one.
        """
        connection = self._take_idle(retryable)
        if connection is not None:
            taken(connection)
            return
        if len(self._open) + len(self._connecting) >= self._most:
            taken(None)
            return
        task = asyncio.ensure_future(self._connect(taken))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def can_connect(self) -> bool:
        """Return whether the upstream takes a new connection, and keep that idle."""
        connection = await self._open_connection()
        if connection is not None:
            self._on_idle(connection)
        return connection is not None

    def release(self, connection: UpstreamConnection) -> None:
        """Take back a connection on which nothing was sent."""
        self._on_idle(connection)

    def drop_idle(self) -> None:
        """Close all connections that rest: they may be as dead as another was."""
        for connection in self._idle:
            connection.abort()
        self._idle = []

    def sweep(self) -> None:
        """Close connections that have been idle for long."""
        now = self._clock.now()
        keep = []
        for connection in self._idle:
            if now - connection.idle_since > self._usable_for(connection):
                connection.abort()
            elif not connection.closed:
                keep.append(connection)
        self._idle = keep

    def retire(self) -> None:
        """Close what is idle, and the rest as it becomes idle."""
        self._closed = True
        self.drop_idle()

    def close(self) -> None:
        """Close all connections."""
        self.retire()
        for connection in list(self._open):
            connection.abort()

    def _take_idle(self, retryable: bool) -> UpstreamConnection | None:
        now = self._clock.now()
        while self._idle:
            # The one used last comes first: it has rested least.
            connection = self._idle[-1]
            rested = now - connection.idle_since
            if connection.closed or rested > self._usable_for(connection):
                connection.abort()
                self._idle.pop()
            elif retryable or rested <= self._usable_for(connection, False):
                return self._idle.pop()
            else:
                self._make_room()
                return None
        return None

    def _make_room(self) -> None:
        """Close an idle connection where a new one would be too many."""
        if len(self._open) + len(self._connecting) >= self._most:
            connection = self._idle.pop(0)
            self._open.discard(connection)
            connection.abort()

    def _usable_for(
        self, connection: UpstreamConnection, retryable: bool = True
    ) -> float:
        return self._rest.max_idle(connection.keep_alive_timeout, retryable)

    async def _connect(
        self, taken: Callable[[UpstreamConnection | None], None]
    ) -> None:
        taken(await self._open_connection())

    async def _open_connection(self) -> UpstreamConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(
                        self._clock,
                        self._id_name,
                        self._noted,
                        self._on_idle,
                        self._on_closed,
                    ),
                    *self._address,
                )
        except (OSError, TimeoutError):
            return None
        self._open.add(connection)
        return connection

    def _on_idle(self, connection: UpstreamConnection) -> None:
        if self._closed:
            connection.abort()
        else:
            self._idle.append(connection)

    def _on_closed(self, connection: UpstreamConnection) -> None:
        self._open.discard(connection)
        if connection.stale_idle_time is not None:
            self._rest.on_stale(connection.stale_idle_time)
