"""Tests of what a stopping node still waits for."""

import asyncio
import socket

import pytest
import uvloop
from rattanfork_core.clock import MonotonicClock
from rattanfork_node.app.shutdown import Shutdown
from rattanfork_node.app.tests.test_shutdown import (
    GRACE,
    DrainingNode,
    no_poll_delay,  # noqa: F401
)
from rattanfork_node.http1 import (
    Exchange,
    HeaderNames,
    HttpServer,
    RequestHandler,
    RequestLimits,
)
from rattanfork_node.http1.tests.fakes import request


class EqualReplies(DrainingNode):
    """A node whose peers read two replies of one size, with a run in between."""

    @property
    def outstanding(self) -> int:
        elapsed = self.clock.elapsed
        is_unread = 2.55 < elapsed < 2.9 or 4.5 <= elapsed < 4.9
        self.peers.undelivered_bytes = 500 if is_unread else 0
        return int(2.9 < elapsed < 4.5)


def test_wait_for_a_reply_begins_anew_after_a_request_was_in_flight():
    """Guards against an exit at once if as much is undelivered as before a run."""
    node = EqualReplies()
    assert node.shut_down() == 0
    assert node.clock.elapsed > 4.9


class PausingReader(DrainingNode):
    """A node with a client that reads 1,000 bytes at a time, 1.5 s apart."""

    @property
    def undelivered_bytes(self) -> int:
        return max(0, 3000 - 1000 * int(self.clock.elapsed / 1.5))


def test_client_that_pauses_within_the_grace_period_gets_its_whole_response():
    """Guards against a truncated response while the grace period has seconds left."""
    node = PausingReader()
    node.shut_down()
    assert node.undelivered_bytes == 0
    assert node.clock.elapsed < GRACE


class PendingRequests(RequestHandler):
    """Keeps requests without a response."""

    def __init__(self) -> None:
        self.handled: list[Exchange] = []

    def on_request(self, exchange: Exchange) -> None:
        self.handled.append(exchange)


def test_requests_behind_idle_connections_in_the_backlog_are_read_before_the_exit():
    """Guards against requests reset unread, as a turn accepts only one connection."""

    async def play() -> None:
        handler = PendingRequests()
        server = HttpServer(MonotonicClock(), HeaderNames(), RequestLimits(), handler)
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = unused.getsockname()
        await server.start(*address)
        node = DrainingNode()
        shutdown = Shutdown(
            node.clock, GRACE, node, node, server, node.give_up, node.peers
        )
        shutdown.begin()
        node.clock.seconds += 2.6
        # As after a stall of the event loop: nothing was accepted yet.
        clients = [socket.create_connection(address) for _ in range(6)]
        clients[-1].sendall(request())
        finish = asyncio.ensure_future(shutdown.finish())
        while not (finish.done() or handler.handled):
            await asyncio.sleep(0)
        assert handler.handled, "the node exits with a whole request in the backlog"
        finish.cancel()
        for client in clients:
            client.close()
        server.stop()

    uvloop.run(play())


@pytest.mark.parametrize("grace", [1.0, 2.0, 3.5, 5.0, 5.4, 6.0, 12.0, 30.0])
def test_requests_are_given_up_in_the_last_sixth_of_any_grace_period(grace):
    """Guards against runs cut early, with time left, as the grace period is short."""
    node = DrainingNode(busy_seconds=1e9)
    # The time of each reading of the clock has to fit into a short grace period.
    node.clock.step = 0.001
    shutdown = Shutdown(node.clock, grace, node, node, node, node.give_up, node.peers)
    shutdown.begin()
    assert asyncio.run(shutdown.finish()) == 1
    assert grace * 5 / 6 < node.events["given up"]
    assert node.clock.elapsed < grace - min(0.4, grace / 15)
