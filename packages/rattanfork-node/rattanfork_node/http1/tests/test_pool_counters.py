"""Tests of the counters of new connections: each names the cause that can be mended."""

from collections import Counter

import pytest

from rattanfork_node.http1.tests.test_pool import FakePool, reset_when_used
from rattanfork_node.http1.tests.test_upstream import on_loop, response


def count_after(close, retryable: bool = True) -> Counter[str]:
    """Return the counters after a close and a request that replaces the connection."""
    pool = FakePool()
    connection = pool.add_idle()
    close(pool, connection)
    pool.take(retryable)
    return pool.events


def cancel(pool: FakePool, connection) -> None:
    pool.take(True).send(b"...", b"r1", lambda _: None)
    connection.abort()


def answer_with_close(pool: FakePool, connection) -> None:
    pool.take(True).send(b"...", b"r1", lambda _: None)
    connection.data_received(
        response().replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
    )
    connection._reusable = False
    connection._release_or_close()


def lose_run(pool: FakePool, connection) -> None:
    pool.take(True).send(b"...", b"r1", lambda _: None)
    connection.connection_lost(ConnectionResetError())


def reset_after_idle(pool: FakePool, connection) -> None:
    pool.clock.advance(1.0)
    reset_when_used(pool.take(True))


def close_idle(pool: FakePool, connection) -> None:
    connection.connection_lost(None)


def keep_idle(seconds: float):
    return lambda pool, _: pool.clock.advance(seconds)


@pytest.mark.parametrize(
    ("close", "retryable", "cause"),
    [
        (cancel, True, "cancelled"),
        (answer_with_close, True, "connection-close"),
        (lose_run, True, "lost"),
        (reset_after_idle, True, "stale"),
        (close_idle, True, "closed-by-upstream"),
        (keep_idle(5.0), True, "idle-too-long"),
        (keep_idle(0.5), False, "not-retryable"),
    ],
)
def test_new_connection_is_counted_by_the_cause_of_the_close(close, retryable, cause):
    @on_loop
    def check():
        assert count_after(close, retryable) == {f"connections.new.{cause}": 1}

    check()


@on_loop
def test_cancelled_run_leaves_room_for_the_next_request_at_once():
    """Guards against 503 to a request that starts in the slot of a cancelled run.

    The transport reports the end of an aborted connection only later; until then the
    pool took the connection for open and was full.
    """
    pool = FakePool(most=1)
    connection = pool.add_idle()
    pool.take(True).send(b"...", b"r1", lambda _: None)
    connection.abort()
    acquired: list = []
    pool.acquire(acquired.append)
    assert acquired == []
    assert len(pool._connecting) == 1
