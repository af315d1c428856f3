"""Connection pool for one upstream."""

import asyncio
from bisect import insort
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from operator import attrgetter

from rattanfork_core.clock import Clock
from rattanfork_core.connections import (
    IdleLimit,
    NewConnectionCause,
    OpenDelay,
    ReplacementCauses,
    ResponseBudget,
    choose_idle,
)

from rattanfork_node.http1.input_pacer import InputPacer
from rattanfork_node.http1.upstream import UpstreamConnection

#: Seconds allowed for connecting; the upstream is on the same instance.
_CONNECT_TIMEOUT_S = 1.0
#: Seconds after which a connection that is still open leads to the upstream.
_SETTLE_S = 0.02


@dataclass(slots=True)
class _Waiter:
    """A request that waits for a connection in use before one is opened for it.

    Parameters
    ==========

    on_acquired : callable
        Called with its connection.
    retryable : bool
        Whether the request may be sent again after a reset.
    request_id : bytes
        ID of the request; empty without one.
    timer : asyncio.TimerHandle, optional
        Opens a connection for it.
    """

    on_acquired: Callable[["UpstreamConnection | None"], None]
    retryable: bool
    request_id: bytes
    timer: asyncio.TimerHandle | None = None


class UpstreamPool:
    """Pool of connections to one upstream, with a bounded size.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    host : str
        Address of the upstream.
    port : int
        Port of the upstream.
    max_connections : int
        Maximum number of connections.
    id_name : bytes
        Header in which responses echo the request ID.
    captured : frozenset of bytes
        Lower-case names of the headers to include in
        :attr:`UpstreamResponse.headers`.
    events : collections.Counter, optional
        Event counters; new connections are counted as ``connections.new.<cause>``.
    budget : ResponseBudget, optional
        Budget for the bodies of the responses that the node is receiving.
    keeps_parts : bool
        Whether large bodies of responses are kept in parts.
    pacer : InputPacer, optional
        Grants turns to the connections with fragmented input; one of its own by
        default.
    """

    def __init__(
        self,
        clock: Clock,
        host: str,
        port: int,
        max_connections: int,
        id_name: bytes,
        captured: frozenset[bytes],
        events: Counter[str] | None = None,
        budget: ResponseBudget | None = None,
        keeps_parts: bool = False,
        pacer: InputPacer | None = None,
    ) -> None:
        self._clock = clock
        self._pacer = pacer or InputPacer()
        self._keeps_parts = keeps_parts
        self._budget = ResponseBudget() if budget is None else budget
        self._address = (host, port)
        self._max_connections = max_connections
        self._id_name = id_name.lower()
        self._captured = captured
        #: Open idle connections, ordered by ``idle_since``.
        self._idle: list[UpstreamConnection] = []
        self._open: set[UpstreamConnection] = set()
        self._connecting: set[asyncio.Task] = set()
        self._waiting: deque[_Waiter] = deque()
        self._closed = False
        self._open_delay = OpenDelay(clock)
        self._idle_limit = IdleLimit(clock)
        self._causes = ReplacementCauses(max_connections)
        self._events = Counter() if events is None else events

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the upstream."""
        return self._address

    @property
    def settled_connections(self) -> int:
        """Number of connections that have been open for a while.

        A device between node and upstream accepts connections to an upstream that is
        gone, and closes them at once.
        """
        opened_before = self._clock.now() - _SETTLE_S
        return sum(c.opened_at <= opened_before for c in self._open)

    @property
    def connections(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open) + len(self._connecting)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of requests that the upstream has not read yet."""
        return sum(connection.unsent_bytes for connection in self._open)

    @property
    def _size(self) -> int:
        """Connections that are open, being opened, or will be unless one is idle."""
        return len(self._open) + len(self._connecting) + len(self._waiting)

    def acquire(
        self,
        on_acquired: Callable[[UpstreamConnection | None], None],
        retryable: bool = True,
        request_id: bytes = b"",
    ) -> None:
        """Pass an idle or new connection to ``on_acquired``, or None if there is none.

        ``on_acquired`` is called before this method returns if a connection is idle.  A
        request that is not ``retryable`` gets a connection that was idle only
        briefly, or a new one: after a reset of a stale connection it would be
        unknown whether the request was executed.  No connection carries two attempts
        at a request with an ID, as their responses could not be told apart.
        """
        connection = self._take_idle(retryable, request_id)
        if connection is not None:
            on_acquired(connection)
            return
        if self._size >= self._max_connections:
            on_acquired(None)
            return
        delay = self._open_delay.delay(len(self._open) - len(self._idle))
        if not delay:
            self._start_connecting(on_acquired, retryable)
            return
        waiter = _Waiter(on_acquired, retryable, request_id)
        loop = asyncio.get_running_loop()
        waiter.timer = loop.call_later(delay, self._stop_waiting, waiter)
        self._waiting.append(waiter)

    async def can_connect(self) -> bool:
        """Open a connection, keep it in the pool and return whether it stays open."""
        self._events[f"connections.new.{NewConnectionCause.PROBE}"] += 1
        connection = await self._open_connection()
        if connection is None:
            return False
        await asyncio.sleep(_SETTLE_S)
        if connection.closed:
            return False
        self._on_idle(connection)
        return True

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool on which nothing was sent."""
        self._on_idle(connection)

    def drop_idle(self) -> None:
        """Close all idle connections: after one failed, others may be stale too."""
        for connection in list(self._idle):
            connection.abort(NewConnectionCause.STALE)

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        now = self._clock.now()
        for connection in list(self._idle):
            if self._is_expired(connection, now):
                connection.abort(NewConnectionCause.IDLE_TOO_LONG)

    def retire(self) -> None:
        """Close idle connections now and the others as they become idle."""
        self._closed = True
        self.drop_idle()

    def close(self) -> None:
        """Close all connections."""
        self.retire()
        for connection in list(self._open):
            connection.abort()

    def _take_idle(
        self, retryable: bool, request_id: bytes
    ) -> UpstreamConnection | None:
        now = self._clock.now()
        while self._idle and self._is_expired(self._idle[0], now):
            self._idle[0].abort(NewConnectionCause.IDLE_TOO_LONG)
        candidates = self._idle
        index = choose_idle(candidates, now, retryable, self._idle_limit)
        if index is not None and not self._may_use(candidates[index], request_id):
            candidates = [c for c in self._idle if self._may_use(c, request_id)]
            index = choose_idle(candidates, now, retryable, self._idle_limit)
        if index is not None:
            connection = candidates[index]
            self._idle.remove(connection)
            return connection
        if self._idle:
            self._evict_if_full()
        return None

    def _may_use(self, connection: UpstreamConnection, request_id: bytes) -> bool:
        return connection.usable and connection.may_carry(request_id)

    def _evict_if_full(self) -> None:
        """Close the longest idle connection if the pool is full."""
        if self._size >= self._max_connections:
            self._idle[0].abort(NewConnectionCause.POOL_FULL)

    def _start_connecting(
        self,
        on_acquired: Callable[[UpstreamConnection | None], None],
        retryable: bool,
    ) -> None:
        self._count_new(retryable)
        task = asyncio.ensure_future(self._connect(on_acquired))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def _stop_waiting(self, waiter: _Waiter) -> None:
        self._waiting.remove(waiter)
        self._start_connecting(waiter.on_acquired, waiter.retryable)

    def _serve_waiting(self) -> None:
        """Pass idle connections to the requests that wait for one."""
        while self._waiting:
            first = self._waiting[0]
            connection = self._take_idle(first.retryable, first.request_id)
            if connection is None:
                return
            waiter = self._waiting.popleft()
            waiter.timer.cancel()
            waiter.on_acquired(connection)

    def _count_new(self, retryable: bool) -> None:
        # Idle connections are left only if the request may use none of them.
        if not self._idle:
            cause = self._causes.on_opened(len(self._open) + len(self._connecting))
        elif retryable:
            cause = NewConnectionCause.MAY_BE_STALE
        else:
            cause = NewConnectionCause.NOT_RETRYABLE
        self._events[f"connections.new.{cause}"] += 1

    def _is_expired(self, connection: UpstreamConnection, now: float) -> bool:
        """Return whether the upstream may be about to close an idle connection."""
        max_idle = self._idle_limit.unlearned(connection.keep_alive_timeout)
        return now - connection.idle_since > max_idle

    async def _connect(
        self, on_acquired: Callable[[UpstreamConnection | None], None]
    ) -> None:
        on_acquired(await self._open_connection())

    async def _open_connection(self) -> UpstreamConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(
                        self._clock,
                        self._id_name,
                        self._captured,
                        self._on_idle,
                        self._on_closed,
                        self._events,
                        self._budget,
                        self._keeps_parts,
                        self._pacer,
                    ),
                    *self._address,
                )
        except (OSError, TimeoutError):
            self._events["connections.failed"] += 1
            return None
        if not connection.usable:
            # Reset before it was returned: the pool has been notified already.
            self._events["connections.failed"] += 1
            return None
        self._open.add(connection)
        return connection

    def _on_idle(self, connection: UpstreamConnection) -> None:
        if self._closed or connection.closed:
            connection.abort()
        else:
            if self._idle_limit.restricted:
                self._idle_limit.on_worked(connection.idle_before, connection.sent_at)
            # A connection that is returned unused keeps the time of its last use.
            idle = self._idle
            if not idle or idle[-1].idle_since <= connection.idle_since:
                idle.append(connection)
            else:
                insort(idle, connection, key=attrgetter("idle_since"))
            if self._waiting:
                self._serve_waiting()

    def _on_closed(self, connection: UpstreamConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._causes.on_closed(connection.close_cause)
        if connection.refused:
            self._open_delay.on_refused()
        if connection.stale_idle_time is not None:
            self._on_stale(connection.stale_idle_time)

    def _on_stale(self, idle_time: float) -> None:
        """Close the connections that have been idle for too long after a reset."""
        self._idle_limit.on_stale(idle_time)
        now = self._clock.now()
        for connection in list(self._idle):
            max_idle = self._idle_limit.max_idle(connection.keep_alive_timeout, True)
            if now - connection.idle_since > max_idle:
                connection.abort(NewConnectionCause.MAY_BE_STALE)
