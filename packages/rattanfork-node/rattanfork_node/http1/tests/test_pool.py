"""Tests of the choice among connections to an upstream."""

from rattanfork_core.clock import ManualClock

from rattanfork_node.http1 import UpstreamConnection, UpstreamPool
from rattanfork_node.http1.tests.fakes import FakeTransport
from rattanfork_node.http1.tests.test_upstream import on_loop


class Pool(UpstreamPool):
    """A pool whose new connections are made at once, without sockets."""

    def __init__(self, most: int = 9) -> None:
        self.clock = ManualClock(100.0)
        self.made = 0
        super().__init__(self.clock, "127.0.0.1", 1, most, b"id", frozenset())

    async def _connect(self, taken) -> None:
        connection = self.make()
        self._open.add(connection)
        taken(connection)

    def make(self) -> UpstreamConnection:
        self.made += 1
        connection = UpstreamConnection(
            self.clock, b"id", frozenset(), self._on_idle, self._on_closed
        )
        connection.connection_made(FakeTransport())
        return connection

    def rest(self) -> UpstreamConnection:
        """Add a connection that begins to rest now."""
        connection = self.make()
        self._open.add(connection)
        self._on_idle(connection)
        return connection

    def take(self, retryable: bool) -> UpstreamConnection | None:
        found: list = []
        self.acquire(found.append, retryable)
        return found[0] if found else None


def reset_when_used(connection: UpstreamConnection) -> None:
    connection.send(b"...", b"r", lambda _: None)
    connection.connection_lost(ConnectionResetError())


@on_loop
def test_a_posting_does_not_travel_on_a_connection_that_has_rested():
    """The upstream has forgotten a connection that rested 0.4 s.

    A posting sent on it would be reset, and nobody could say whether it ran.
    A read may use it; the posting gets a connection of its own.
    """
    pool = Pool()
    rested = pool.rest()
    pool.clock.advance(0.4)
    assert pool.take(retryable=False) is None
    assert len(pool._connecting) == 1
    assert pool.take(retryable=True) is rested


@on_loop
def test_a_posting_uses_a_connection_just_used():
    pool = Pool()
    pool.rest()
    pool.clock.advance(0.4)
    fresh = pool.rest()
    pool.clock.advance(0.05)
    assert pool.take(retryable=False) is fresh


@on_loop
def test_room_is_made_for_a_new_connection_where_all_have_rested():
    pool = Pool(most=2)
    oldest = pool.rest()
    pool.rest()
    pool.clock.advance(0.4)
    assert pool.take(retryable=False) is None
    assert len(pool._connecting) == 1
    assert oldest._transport.aborted


@on_loop
def test_reads_learn_how_long_a_connection_may_rest():
    """Three reads in a row are sent on connections that were forgotten.

    The first reset tells how long the connection had rested; those that have
    rested as long are not used any more.
    """
    pool = Pool()
    first, second = pool.rest(), pool.rest()
    pool.clock.advance(1.0)
    assert pool.take(retryable=True) is second
    reset_when_used(second)
    assert pool.take(retryable=True) is None
    assert first._transport.aborted


@on_loop
def test_a_reset_after_a_part_of_the_answer_tells_nothing_of_rest():
    pool = Pool()
    connection = pool.rest()
    pool.rest()
    pool.clock.advance(1.0)
    connection.send(b"...", b"r", lambda _: None)
    connection.data_received(b"HTTP/1.1 200 OK\r\n")
    connection.connection_lost(ConnectionResetError())
    assert pool.take(retryable=True) is not None
