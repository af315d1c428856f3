"""Tests of the connection to an upstream."""

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
    """Connection to an upstream whose responses the test sends."""

    def __init__(self) -> None:
        self.idle: list[UpstreamConnection] = []
        self.responses = []
        self.connection = UpstreamConnection(
            ManualClock(), b"id", frozenset(), self.idle.append, lambda _: None
        )
        self.transport = FakeTransport()
        self.connection.connection_made(self.transport)

    def send_request(self, request_id: bytes = b"r1") -> None:
        self.connection.send(b"...", request_id, self.responses.append)

    def receive(self, data: bytes) -> None:
        self.connection.data_received(data)


def response(request_id: str = "r1", body: str = "ok") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nId: {request_id}\r\nContent-Length: {len(body)}"
    return f"{head}\r\n\r\n{body}".encode()


@on_loop
def test_complete_response_is_delivered_and_connection_reused():
    upstream = Upstream()
    upstream.send_request()
    upstream.receive(response()[:30])
    assert upstream.responses == []
    upstream.receive(response()[30:])
    assert upstream.responses[0].body == b"ok"
    assert upstream.idle == [upstream.connection]


@on_loop
def test_late_response_to_another_request_is_dropped():
    """Guards against a caller receiving the response to another caller's request.

    An upstream sends a response twice; the late copy arrives in place of the next
    response and is recognized by the request ID that it echoes.
    """
    upstream = Upstream()
    upstream.send_request(b"r1")
    upstream.receive(response("r1"))
    upstream.send_request(b"r2")
    upstream.receive(response("r1", "old") + response("r2", "new"))
    assert [a.body for a in upstream.responses] == [b"ok", b"new"]


def anonymous(body: str = "ok") -> bytes:
    """Return a response that echoes no ID."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}"
    return f"{head}\r\n\r\n{body}".encode()


@on_loop
def test_response_without_id_is_dropped_where_responses_echo_ids():
    """Guards against a second response without an ID in place of the next response."""
    upstream = Upstream()
    upstream.send_request(b"r1")
    upstream.receive(response("r1"))
    upstream.send_request(b"r2")
    upstream.receive(anonymous("extra") + response("r2", "new"))
    assert [a.body for a in upstream.responses] == [b"ok", b"new"]
    assert upstream.connection.dropped == 1


@on_loop
def test_response_without_id_is_identified_on_first_use_only():
    """Guards against callers without responses where an upstream echoes no IDs.

    Only the first response of a connection can't be one to an earlier request.
    """
    upstream = Upstream()
    for request_id in (b"r1", b"r2"):
        upstream.send_request(request_id)
        upstream.receive(anonymous())
    assert [a.is_identified for a in upstream.responses] == [True, False]


@on_loop
def test_response_to_request_without_id_is_identified_on_first_use_only():
    upstream = Upstream()
    for _ in range(2):
        upstream.send_request(b"")
        upstream.receive(anonymous())
    assert [a.is_identified for a in upstream.responses] == [True, False]


@on_loop
def test_response_with_two_ids_belongs_to_no_request():
    """Guards against a spoiled head that adds the ID of the pending request."""
    for ids in ("r2\r\nId: r1", "r1\r\nId: r2", "r\r\nId: 1"):
        upstream = Upstream()
        upstream.send_request(b"r1")
        upstream.receive(response(ids) + response("r1", "new"))
        assert [a.body for a in upstream.responses] == [b"new"]


@on_loop
def test_trailer_fields_are_not_headers():
    """Guards against a trailer that turns a response into another request's.

    The same holds for one that states that a request has not been run.
    """
    upstream = Upstream()
    upstream.connection._captured = frozenset((b"not-run",))
    upstream.send_request(b"r1")
    upstream.receive(
        b"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nok\r\n0\r\nId: r2\r\nNot-Run: 1\r\n\r\n"
    )
    [received] = upstream.responses
    assert received.is_identified
    assert received.headers == {}
    assert b"Not-Run" not in received.header_block


@on_loop
def test_connection_carries_no_second_attempt_at_a_request_answered_with_an_error():
    """Guards against a copy of a rejection that is taken for the next attempt's."""
    upstream = Upstream()
    for request_id, status in (("served", 200), ("failed", 500)):
        upstream.send_request(request_id.encode())
        upstream.receive(response(request_id).replace(b"200", b"%d" % status))
    assert upstream.connection.may_carry(b"served")
    assert not upstream.connection.may_carry(b"failed")


@on_loop
def test_connection_is_closed_when_it_remembers_too_many_requests():
    """Guards against memory that grows with the errors of an upstream."""
    upstream = Upstream()
    while not upstream.transport.closed:
        upstream.idle.clear()
        request_id = f"r{len(upstream.responses)}"
        upstream.send_request(request_id.encode())
        upstream.receive(response(request_id).replace(b"200", b"503"))
    assert len(upstream.responses) == 128
    assert upstream.idle == []


@on_loop
def test_unexpected_bytes_abort_the_connection():
    """An upstream sends more bytes after a complete response.

    They belong to no request; on a reused connection they would be taken for the next
    response.
    """
    upstream = Upstream()
    upstream.send_request()
    upstream.receive(response() + b"HTTP/1.1 200 OK\r\n")
    assert upstream.transport.aborted
    assert upstream.idle == []
    assert len(upstream.responses) == 1
    idle = Upstream()
    idle.receive(b"x")
    assert idle.transport.aborted


@on_loop
def test_response_without_length_ends_with_its_connection():
    upstream = Upstream()
    upstream.send_request()
    upstream.receive(b"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhalf")
    upstream.receive(b" more")
    assert upstream.responses == []
    upstream.connection.eof_received()
    assert upstream.responses[0].body == b"half more"


@on_loop
def test_reset_response_without_length_is_incomplete():
    """Guards against a truncated response that looks complete to the caller.

    The end of a response without a length is the close of its connection; after a
    reset, the missing part cannot be detected.
    """
    upstream = Upstream()
    upstream.send_request()
    upstream.receive(b"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhalf")
    upstream.connection.connection_lost(ConnectionResetError())
    assert upstream.responses == [None]


@on_loop
def test_truncated_response_with_length_is_not_delivered_on_close():
    upstream = Upstream()
    upstream.send_request()
    upstream.receive(response()[:-1])
    upstream.connection.eof_received()
    upstream.connection.connection_lost(None)
    assert upstream.responses == [None]


@on_loop
def test_connection_with_unsent_body_is_closed_after_early_response():
    """An upstream responds before it has read a long body.

    The rest of the body is still in the write buffer; the upstream would read the next
    request as a part of it.
    """
    upstream = Upstream()
    upstream.send_request()
    upstream.transport.unsent_bytes = 10
    upstream.receive(response())
    assert upstream.idle == []
    assert upstream.transport.closed


@on_loop
def test_interim_response_is_skipped():
    upstream = Upstream()
    upstream.send_request()
    upstream.receive(b"HTTP/1.1 100 Continue\r\n\r\n" + response())
    assert [a.status for a in upstream.responses] == [200]


@on_loop
def test_interim_response_to_head_is_skipped():
    """Guards against 102 as the final status of a HEAD request."""
    upstream = Upstream()
    upstream.connection.send(b"...", b"r1", upstream.responses.append, is_head=True)
    upstream.receive(b"HTTP/1.1 102 Processing\r\n\r\n" + response(body=""))
    assert [a.status for a in upstream.responses] == [200]


@on_loop
def test_keep_alive_timeout_is_parsed():
    upstream = Upstream()
    upstream.send_request()
    upstream.receive(b"HTTP/1.1 204 No Content\r\nKeep-Alive: max=5, timeout=7\r\n\r\n")
    assert upstream.connection.keep_alive_timeout == 7.0


@on_loop
def test_changed_keep_alive_timeout_replaces_the_previous_one():
    """Guards against reuse of a connection that the upstream now closes earlier."""
    upstream = Upstream()
    for value in (b"timeout=7", b"timeout=7", b"timeout=2"):
        upstream.send_request()
        upstream.receive(b"HTTP/1.1 204 No Content\r\nKeep-Alive: %b\r\n\r\n" % value)
    assert upstream.connection.keep_alive_timeout == 2.0


@on_loop
def test_connection_is_not_reused_after_bytes_that_are_no_response():
    """Guards against a request that is sent on an aborted connection and lost."""
    upstream = Upstream()
    upstream.send_request()
    upstream.receive(response() + b"nonsense")
    assert len(upstream.responses) == 1
    assert upstream.idle == []
    assert upstream.transport.aborted


@on_loop
def test_mismatched_response_until_close_does_not_release_the_connection():
    """Guards against reuse of a connection whose response was for another request."""
    upstream = Upstream()
    upstream.send_request(b"r1")
    upstream.receive(response("r1"))
    upstream.idle.clear()
    upstream.send_request(b"r2")
    upstream.receive(b"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nold")
    upstream.connection.eof_received()
    assert upstream.responses[1] is None
    assert upstream.idle == []


@given(st.binary(max_size=200))
def test_arbitrary_bytes_give_exactly_one_result(data):
    @on_loop
    def check():
        upstream = Upstream()
        upstream.send_request()
        upstream.receive(data)
        upstream.connection.connection_lost(None)
        assert len(upstream.responses) == 1

    check()
