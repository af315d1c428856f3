"""Connections to one upstream."""

import asyncio
from collections.abc import Callable

from rattanfork_core.clock import Clock

from rattanfork_node.http1.upstream import UpstreamConnection

#: Seconds that a new connection may take; the upstream is on this instance.
_CONNECT_TIMEOUT = 1.0
#: Connections are used up to this share of the time for which the upstream
#: keeps them: a request that crosses the upstream's close may have run.
_KEEP_SHARE = 0.6
#: Seconds for which an idle connection is used if the upstream states none.
_KEEP_DEFAULT = 4.0


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
        most: int,
        id_name: bytes,
        noted: frozenset[bytes],
    ) -> None:
        self._clock = clock
        self._address = (host, port)
        self._most = most
        self._id_name = id_name.lower()
        self._noted = noted
        self._idle: list[UpstreamConnection] = []
        self._open: set[UpstreamConnection] = set()
        self._connecting: set[asyncio.Task] = set()
        self._closed = False

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the upstream."""
        return self._address

    @property
    def open(self) -> int:
        """Connections that are open."""
        return len(self._open)

    def acquire(self, taken: Callable[[UpstreamConnection | None], None]) -> None:
        """Find a connection; ``taken`` gets it, or None if there is none.

        It is called at once if one is idle.
        """
        now = self._clock.now()
        while self._idle:
            connection = self._idle.pop()
            if connection.closed:
                continue
            if now - connection.idle_since > self._usable_for(connection):
                connection.abort()
                continue
            taken(connection)
            return
        if len(self._open) + len(self._connecting) >= self._most:
            taken(None)
            return
        task = asyncio.ensure_future(self._connect(taken))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def give_back(self, connection: UpstreamConnection) -> None:
        """Take back a connection on which nothing was sent."""
        self._on_idle(connection)

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
        for connection in self._idle:
            connection.abort()
        self._idle = []

    def close(self) -> None:
        """Close all connections."""
        self.retire()
        for connection in list(self._open):
            connection.abort()

    def _usable_for(self, connection: UpstreamConnection) -> float:
        if connection.keep_for is None:
            return _KEEP_DEFAULT
        return connection.keep_for * _KEEP_SHARE

    async def _connect(
        self, taken: Callable[[UpstreamConnection | None], None]
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(
                        self._clock,
                        self._id_name,
                        self._noted,
                        self._on_idle,
                        self._open.discard,
                    ),
                    *self._address,
                )
        except (OSError, TimeoutError):
            taken(None)
            return
        self._open.add(connection)
        taken(connection)

    def _on_idle(self, connection: UpstreamConnection) -> None:
        if self._closed:
            connection.abort()
        else:
            self._idle.append(connection)
