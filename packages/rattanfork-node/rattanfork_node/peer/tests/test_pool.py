"""Tests of the connections to other nodes, on sockets."""

import asyncio

import uvloop
from rattanfork_core.clock import MonotonicClock

from rattanfork_node.peer import PeerLink, PeerPool
from rattanfork_node.peer.tests.test_link import RUN, RecordingHandler


def make_link(connecting: bool) -> PeerLink:
    handler = RecordingHandler()
    clock = MonotonicClock()
    return PeerLink(clock, b"key", "n", "dc", handler, 1000, connecting)


async def listen() -> tuple[str, int]:
    """Accept connections at a new address, which is returned."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: make_link(False), "127.0.0.1", 0)
    return server.sockets[0].getsockname()


def test_connection_with_an_unanswered_run_is_not_closed_for_a_new_one():
    """Guards against runs that are lost at a node with more peers than connections."""

    async def play() -> None:
        pool = PeerPool(lambda: make_link(True), MonotonicClock(), max_links=2)
        busy = await pool.open(await listen())
        replies = []
        busy.send_run(RUN, replies.append)
        idle = await pool.open(await listen())
        await pool.open(await listen())
        assert (busy.closed, idle.closed) == (False, True)
        assert replies == []
        assert pool.connected == 2
        pool.close()

    uvloop.run(play())
