"""Tests of replies that wait for room at their caller's node while a node stops."""

import asyncio

import uvloop
from rattanfork_core.clock import MonotonicClock
from rattanfork_node.app import shutdown as shutdown_module
from rattanfork_node.app.shutdown import Shutdown
from rattanfork_node.app.tests.test_shutdown import GRACE, DrainingNode
from rattanfork_node.peer.tests.test_link import RUN_REPLY
from rattanfork_node.peer.tests.test_link_sockets import (
    _BODY_BYTES,
    LinkedNodes,
    SlowReader,
)


def test_reply_that_waits_for_credit_is_delivered_within_the_grace_period(monkeypatch):
    """Guards against 502 for a run that was answered: its node exits after a second."""
    monkeypatch.setattr(shutdown_module, "_MIN_SERVING_S", 0.0)

    async def play() -> None:
        async with LinkedNodes() as nodes:
            reader, body = SlowReader(), [b"x" * _BODY_BYTES]
            nodes.budget.hold(reader, _BODY_BYTES)
            loop = asyncio.get_running_loop()
            loop.call_later(1.5, nodes.budget.release, reader)
            nodes.far.send_reply(RUN_REPLY._replace(body=b""), body)
            node = DrainingNode()
            shutdown = Shutdown(
                MonotonicClock(),
                GRACE,
                node,
                node,
                node,
                node.give_up,
                nodes.handlers[1],
            )
            shutdown.begin()
            assert await shutdown.finish() == 0
            nodes.far.close("this node stops")
            await asyncio.sleep(0.1)
            assert [body for _, body in nodes.replies] == [body]

    uvloop.run(play())
