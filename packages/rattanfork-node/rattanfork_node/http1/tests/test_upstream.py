"""Tests of a connection to an upstream."""

import asyncio
from functools import wraps

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock

from rattanfork_node.http1 import UpstreamConnection
from rattanfork_node.http1.tests.fakes import FakeTransport


def on_loop(test):
    @wraps(test)
    def run(*args, **kwargs):
        async def inner():
            test(*args, **kwargs)

        asyncio.run(inner())

    return run


class Upstream:
    """A connection to an upstream that the test speaks for."""

    def __init__(self) -> None:
        self.idle: list[UpstreamConnection] = []
        self.answers = []
        self.connection = UpstreamConnection(
            ManualClock(), b"id", frozenset(), self.idle.append, lambda _: None
        )
        self.transport = FakeTransport()
        self.connection.connection_made(self.transport)

    def ask(self, request_id: bytes = b"r1") -> None:
        self.connection.send(b"...", request_id, self.answers.append)

    def say(self, data: bytes) -> None:
        self.connection.data_received(data)

    def settle(self) -> None:
        self.connection._settle(True)


def answer(request_id: str = "r1", body: str = "ok") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nId: {request_id}\r\nContent-Length: {len(body)}"
    return f"{head}\r\n\r\n{body}".encode()


@on_loop
def test_a_whole_answer_is_handed_over_and_the_connection_used_again():
    upstream = Upstream()
    upstream.ask()
    upstream.say(answer()[:30])
    assert upstream.answers == []
    upstream.say(answer()[30:])
    assert upstream.answers[0].body == b"ok"
    upstream.settle()
    assert upstream.idle == [upstream.connection]


@on_loop
def test_the_late_answer_to_another_request_is_dropped():
    """An upstream sends an answer twice; the copy comes late.

    It stands where the answer to the next request is expected, which would
    give one caller what belongs to another.  Its ID tells it apart.
    """
    upstream = Upstream()
    upstream.ask(b"r1")
    upstream.say(answer("r1"))
    upstream.ask(b"r2")
    upstream.say(answer("r1", "old") + answer("r2", "new"))
    assert [a.body for a in upstream.answers] == [b"ok", b"new"]


@on_loop
def test_bytes_that_nobody_asked_for_end_the_connection():
    """An upstream sends more after a whole answer.

    Whatever it is, it belongs to no request; on a kept connection it would
    be read as the next answer.
    """
    upstream = Upstream()
    upstream.ask()
    upstream.say(answer() + b"HTTP/1.1 200 OK\r\n")
    upstream.settle()
    assert upstream.transport.aborted
    assert upstream.idle == []
    assert len(upstream.answers) == 1
    idle = Upstream()
    idle.say(b"x")
    assert idle.transport.aborted


@on_loop
def test_an_answer_without_a_length_ends_with_its_connection():
    upstream = Upstream()
    upstream.ask()
    upstream.say(b"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhalf")
    upstream.say(b" more")
    assert upstream.answers == []
    upstream.connection.eof_received()
    assert upstream.answers[0].body == b"half more"


@on_loop
def test_an_answer_without_a_length_that_is_reset_is_not_whole():
    """An answer that ends with its connection is cut by a reset.

    Nothing in it tells that a part is missing; handed over, it would look
    complete to the caller.
    """
    upstream = Upstream()
    upstream.ask()
    upstream.say(b"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhalf")
    upstream.connection.connection_lost(ConnectionResetError())
    assert upstream.answers == [None]


@on_loop
def test_a_cut_answer_is_not_handed_over_at_an_orderly_end_either():
    upstream = Upstream()
    upstream.ask()
    upstream.say(answer()[:-1])
    upstream.connection.eof_received()
    upstream.connection.connection_lost(None)
    assert upstream.answers == [None]


@on_loop
def test_an_early_answer_leaves_the_connection_unused_while_the_body_is_unsent():
    """An upstream answers before it has read a long body.

    The rest of the body is still in our buffer; another request behind it is
    only safe once all of it is out.
    """
    upstream = Upstream()
    upstream.ask()
    upstream.transport.unsent = 10
    upstream.say(answer())
    upstream.settle()
    assert upstream.idle == []
    assert upstream.transport.closed


@on_loop
def test_an_interim_answer_is_skipped():
    upstream = Upstream()
    upstream.ask()
    upstream.say(b"HTTP/1.1 100 Continue\r\n\r\n" + answer())
    assert [a.status for a in upstream.answers] == [200]


@on_loop
def test_the_stated_time_to_keep_a_connection_is_read():
    upstream = Upstream()
    upstream.ask()
    upstream.say(b"HTTP/1.1 204 No Content\r\nKeep-Alive: max=5, timeout=7\r\n\r\n")
    assert upstream.connection.keep_alive_timeout == 7.0


@given(st.binary(max_size=200))
def test_no_bytes_give_more_than_one_answer(data):
    @on_loop
    def check():
        upstream = Upstream()
        upstream.ask()
        upstream.say(data)
        upstream.connection.connection_lost(None)
        assert len(upstream.answers) == 1

    check()
