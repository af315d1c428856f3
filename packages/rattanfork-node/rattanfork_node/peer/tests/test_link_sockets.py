"""Tests of two linked nodes on sockets, one of which stops."""

import asyncio
from functools import partial

import uvloop
from rattanfork_core.clock import MonotonicClock
from rattanfork_core.connections import ResponseBudget, ResponseHolder

from rattanfork_node.peer import PeerLink
from rattanfork_node.peer.messages import Ping
from rattanfork_node.peer.tests.test_link import RUN, RUN_REPLY, RecordingHandler

_BODY_BYTES = 40_000


class StoppingHandler(RecordingHandler):
    """Handler of the node that stops."""

    def __init__(self) -> None:
        super().__init__()
        self.runs: list[int] = []
        self.links: list[PeerLink] = []

    @property
    def waiting_replies(self) -> int:
        return sum(link.waiting_bodies for link in self.links)

    @property
    def undelivered_bytes(self) -> int:
        return sum(link.undelivered_bytes for link in self.links)

    def on_open(self, link):
        self.links.append(link)

    def on_run(self, link, run):
        self.runs.append(run.number)

    def on_cancel(self, link, number):
        pass

    def on_closed(self, link):
        pass


class SlowReader(ResponseHolder):
    """A client of the other node that takes all its room for a while."""

    def evict(self) -> None:
        pass


class LinkedNodes:
    """Two nodes with a connection between them."""

    def __init__(self) -> None:
        clock = MonotonicClock()
        self.budget = ResponseBudget(_BODY_BYTES)
        self.handlers = (RecordingHandler(), StoppingHandler())
        self._make = [
            partial(PeerLink, clock, b"key", name, "dc", handler, 1 << 20, connecting)
            for name, handler, connecting in zip(
                ("near", "far"), self.handlers, (True, False), strict=True
            )
        ]
        self.replies: list = []

    async def __aenter__(self) -> "LinkedNodes":
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(self._make[1], "127.0.0.1", 0)
        self._listener = listener
        port = listener.sockets[0].getsockname()[1]
        _, self.near = await loop.create_connection(
            partial(self._make[0], self.budget), "127.0.0.1", port
        )
        await self.near.wait_ready()
        [self.far] = self.handlers[1].links
        self.near.send_run(RUN, self._on_reply)
        await asyncio.sleep(0.02)
        assert self.handlers[1].runs == [RUN.number]
        return self

    async def __aexit__(self, *failure: object) -> None:
        self.near.close("end of the test")
        self.far.close("end of the test")
        self._listener.close()

    def _on_reply(self, reply) -> None:
        self.replies.append((reply, self.near.take_reply_body()))


def test_reply_that_a_stopped_node_delivered_is_read_before_its_lost_link():
    """Guards against 502 for a run whose reply waits in the socket of its caller."""

    async def play() -> None:
        async with LinkedNodes() as nodes:
            # The loop of the caller's node stands still from here on, but for timers.
            nodes.near._transport.pause_reading()
            nodes.far.send(RUN_REPLY)
            await asyncio.sleep(0.2)
            assert nodes.handlers[1].undelivered_bytes == 0
            nodes.far.finish()
            await asyncio.sleep(0.02)
            for number in (1, 2):
                nodes.near.send(Ping(number))
            nodes.near._transport.resume_reading()
            await asyncio.sleep(0.1)
            assert [reply for reply, _ in nodes.replies] == [RUN_REPLY]

    uvloop.run(play())
