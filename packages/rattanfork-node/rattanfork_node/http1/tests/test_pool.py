"""Tests of connection reuse in the upstream pool."""

from collections import Counter

import pytest
from rattanfork_core.clock import ManualClock

from rattanfork_node.http1 import UpstreamConnection, UpstreamPool
from rattanfork_node.http1.tests.fakes import FakeTransport
from rattanfork_node.http1.tests.test_upstream import on_loop, response


class FakePool(UpstreamPool):
    """Pool that opens new connections at once, without sockets."""

    def __init__(self, most: int = 9) -> None:
        self.clock = ManualClock(100.0)
        self.opened = 0
        self.events: Counter[str] = Counter()
        super().__init__(
            self.clock, "127.0.0.1", 1, most, b"id", frozenset(), self.events
        )

    async def _connect(self, on_acquired) -> None:
        connection = self.open_connection()
        self._open.add(connection)
        on_acquired(connection)

    def open_connection(self) -> UpstreamConnection:
        self.opened += 1
        connection = UpstreamConnection(
            self.clock, b"id", frozenset(), self._on_idle, self._on_closed
        )
        connection.connection_made(FakeTransport())
        return connection

    def add_idle(self) -> UpstreamConnection:
        """Add a connection that is idle from now on."""
        connection = self.open_connection()
        self._open.add(connection)
        self._on_idle(connection)
        return connection

    def take(
        self, retryable: bool, request_id: bytes = b""
    ) -> UpstreamConnection | None:
        acquired: list = []
        self.acquire(acquired.append, retryable, request_id)
        return acquired[0] if acquired else None


def reset_when_used(connection: UpstreamConnection) -> None:
    connection.send(b"...", b"r", lambda _: None)
    connection.connection_lost(ConnectionResetError())


@on_loop
def test_unretryable_request_is_not_sent_on_long_idle_connection():
    """Guards against a reset after which it is unknown whether a POST was executed.

    The upstream may have closed a connection that was idle for 0.4 s.  A retryable
    request may use it; one that is not retryable gets a new connection.
    """
    pool = FakePool()
    idle = pool.add_idle()
    pool.clock.advance(0.4)
    assert pool.take(retryable=False) is None
    assert len(pool._connecting) == 1
    assert pool.take(retryable=True) is idle


@on_loop
def test_unretryable_request_uses_recently_used_connection():
    pool = FakePool()
    pool.add_idle()
    pool.clock.advance(0.4)
    recent = pool.add_idle()
    pool.clock.advance(0.05)
    assert pool.take(retryable=False) is recent


@on_loop
def test_full_pool_closes_longest_idle_connection_for_a_new_one():
    pool = FakePool(most=2)
    oldest = pool.add_idle()
    pool.add_idle()
    pool.clock.advance(0.4)
    assert pool.take(retryable=False) is None
    assert len(pool._connecting) == 1
    assert oldest._transport.aborted


@on_loop
def test_reset_of_stale_connection_lowers_idle_limit():
    """Guards against several requests in a row being sent on stale connections.

    The first reset shows how long its connection had been idle; connections that
    have been idle for as long are not reused.
    """
    pool = FakePool()
    first, second = pool.add_idle(), pool.add_idle()
    pool.clock.advance(1.0)
    assert pool.take(retryable=True) is second
    reset_when_used(second)
    assert pool.take(retryable=True) is None
    assert first._transport.aborted


@on_loop
def test_reset_after_partial_response_keeps_idle_limit():
    pool = FakePool()
    connection = pool.add_idle()
    pool.add_idle()
    pool.clock.advance(1.0)
    connection.send(b"...", b"r", lambda _: None)
    connection.data_received(b"HTTP/1.1 200 OK\r\n")
    connection.connection_lost(ConnectionResetError())
    assert pool.take(retryable=True) is not None


@on_loop
def test_connections_that_age_after_a_reset_are_kept_and_probed():
    """Guards against new connections for many seconds after a reset by a failure.

    The connections are neither used nor closed while they may be stale.  One request
    that may be sent again shows that they are not.
    """
    pool = FakePool()
    pool.add_idle()
    pool.clock.advance(0.4)
    reset_when_used(pool.take(retryable=True))
    kept = [pool.add_idle() for _ in range(3)]
    pool.clock.advance(0.5)
    assert pool.take(retryable=True) is None
    pool.sweep()
    pool.clock.advance(0.5)
    probe = pool.take(retryable=True)
    assert probe is kept[-1]
    assert pool.take(retryable=True) is None
    probe.send(b"...", b"r1", lambda _: None)
    probe.data_received(response())
    probe._reusable = True
    probe._release_or_close()
    assert pool.take(retryable=True) is kept[1]


def answer_with_error(connection: UpstreamConnection, request_id: bytes) -> None:
    connection.send(b"...", request_id, lambda _: None)
    failed = response(request_id.decode()).replace(b"200 OK", b"503 Busy")
    connection.data_received(failed)


@pytest.mark.parametrize("retryable", [False, True])
@on_loop
def test_next_attempt_at_a_request_gets_a_connection_that_has_not_carried_it(retryable):
    """Guards against a second copy of a rejection as the response to the next attempt.

    Where each idle connection has carried the request, a new one is opened.
    """
    pool = FakePool()
    pool.add_idle()
    other = pool.add_idle()
    used = pool.take(retryable)
    answer_with_error(used, b"r1")
    assert other is not used
    assert pool.take(retryable, b"r2") is not None
    assert pool.take(retryable, b"r1") is None
    assert len(pool._connecting) == 1


@on_loop
def test_closing_connection_is_not_used():
    """Guards against a request that is written to a connection that is being closed.

    The transport is closed as soon as a reset is read; the connection learns of it in
    the next iteration of the event loop.
    """
    pool = FakePool()
    usable = pool.add_idle()
    closing = pool.add_idle()
    closing._transport.closed = True
    assert pool.take(retryable=False) is usable
    assert pool.take(retryable=False) is None
