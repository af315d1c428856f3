"""Tests of an upstream that resets the connections that it does not accept."""

import asyncio

from rattanfork_node.http1 import UpstreamPool
from rattanfork_node.http1.tests.fakes import FakeTransport
from rattanfork_node.http1.tests.test_pool import FakePool
from rattanfork_node.http1.tests.test_upstream import response
from rattanfork_node.http1.tests.virtual_loop import LoopClock, VirtualTimeLoop
from rattanfork_node.relay.tests.fakes import on_loop


class RefusingUpstream:
    """A pool with connections in use, whose upstream resets each further one."""

    def __init__(self, in_use: int) -> None:
        self.pool = FakePool(most=20)
        self.used = [self.pool.add_idle() for _ in range(in_use)]
        for _ in self.used:
            self.pool.take(True).send(b"...", b"r1", lambda _: None)
        self.acquired: list = []

    def refuse(self) -> None:
        refused = self.pool.add_idle()
        self.pool.take(True).send(b"...", b"r1", lambda _: None)
        refused.connection_lost(ConnectionResetError())

    def acquire(self) -> None:
        self.pool.acquire(self.acquired.append)


@on_loop
async def test_request_gets_a_connection_in_use_instead_of_a_refused_one():
    """Guards against a request that fails with each connection the upstream refuses."""
    upstream = RefusingUpstream(in_use=9)
    upstream.refuse()
    upstream.acquire()
    assert not upstream.acquired
    connection = upstream.used[3]
    connection.data_received(response())
    connection._reusable = True
    connection._release_or_close()
    assert upstream.acquired == [connection]
    assert not upstream.pool._waiting
    assert not upstream.pool._connecting


@on_loop
async def test_connection_is_opened_if_none_becomes_idle():
    """Guards against a request that waits for long runs until its deadline."""
    upstream = RefusingUpstream(in_use=9)
    upstream.refuse()
    upstream.acquire()
    await asyncio.sleep(0.1)
    assert len(upstream.acquired) == 1
    assert upstream.acquired[0] not in upstream.used


@on_loop
async def test_connection_is_opened_at_once_without_a_refusal_or_others_in_use():
    """Guards against a delay where no connection will become idle soon."""
    upstream = RefusingUpstream(in_use=9)
    upstream.acquire()
    few = RefusingUpstream(in_use=2)
    few.refuse()
    few.acquire()
    await asyncio.sleep(0)
    assert len(upstream.acquired) == len(few.acquired) == 1


@on_loop
async def test_full_pool_refuses_requests_beyond_those_that_wait():
    """Guards against more connections than the upstream allows."""
    upstream = RefusingUpstream(in_use=19)
    upstream.refuse()
    upstream.acquire()
    upstream.acquire()
    assert upstream.acquired == [None]


def test_connection_that_is_reset_before_its_use_is_none():
    """Guards against a request without a response, and a pool that fills up.

    The reset arrives before the pool has received the connection.  Nothing was sent, so
    the request has not run.
    """

    def accept(protocol: asyncio.Protocol) -> FakeTransport:
        loop.call_soon(protocol.connection_lost, ConnectionResetError())
        return FakeTransport()

    loop = VirtualTimeLoop(accept)
    pool = UpstreamPool(LoopClock(loop), "127.0.0.1", 1, 2, b"id", frozenset())
    acquired: list = []

    async def acquire_often() -> None:
        for _ in range(5):
            pool.acquire(acquired.append)
            await asyncio.sleep(1.0)

    loop.run_until_complete(acquire_often())
    loop.close()
    assert acquired == [None] * 5
    assert not pool._open
    assert pool.settled_connections == 0
