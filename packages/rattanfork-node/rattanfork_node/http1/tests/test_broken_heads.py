"""Tests of responses that an upstream breaks off.

Each response ends after each of its bytes.
"""

from itertools import pairwise

import pytest
from rattanfork_core.clock import ManualClock

from rattanfork_node.http1 import UpstreamConnection
from rattanfork_node.http1.tests.broken_responses import (
    FURTHER_RESPONSES,
    MALFORMED,
    REQUEST_ID,
    RESPONSES,
)
from rattanfork_node.http1.tests.fakes import FakeTransport
from rattanfork_node.http1.tests.test_upstream import on_loop

#: Sizes of the segments in which data arrives: whole, byte by byte, or in some.
_SEGMENT_BYTES = (1 << 20, 1, 40)


class BrokenUpstream:
    """Connection to an upstream that has been sent one request.

    Parameters
    ==========

    is_for_head : bool
        Whether the request's method is HEAD.
    """

    def __init__(self, is_for_head: bool = False) -> None:
        self.idle: list[UpstreamConnection] = []
        self.received: list = []
        self.transport = FakeTransport()
        self.connection = UpstreamConnection(
            ManualClock(),
            b"id",
            frozenset((b"not-run", b"stamp")),
            self.idle.append,
            lambda _: None,
        )
        self.connection.connection_made(self.transport)
        self.connection.send(b"...", REQUEST_ID, self.received.append, is_for_head)

    def receive(self, data: bytes, segment_bytes: int = 1 << 20) -> None:
        """Receive data as long as the connection is open."""
        starts = range(0, len(data), segment_bytes)
        for start, end in pairwise([*starts, len(data)]):
            if not self.transport.is_closing():
                self.connection.data_received(data[start:end])

    def end(self, ending: str) -> None:
        """End the connection, as a transport reports it."""
        if self.transport.is_closing():
            self.connection.connection_lost(None)
        elif ending == "close":
            self.connection.eof_received()
            self.connection.connection_lost(None)
        else:
            self.connection.connection_lost(ConnectionResetError())


@pytest.mark.parametrize("segment_bytes", _SEGMENT_BYTES)
@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("name", RESPONSES)
@on_loop
def test_response_that_is_broken_off_is_no_response(name, ending, segment_bytes):
    """Guards against a broken response that callers receive as a whole one."""
    response = RESPONSES[name]
    for size in range(response.certain_bytes):
        upstream = BrokenUpstream(response.is_for_head)
        upstream.receive(response.data[:size], segment_bytes)
        upstream.end(ending)
        assert upstream.received == [None], size
        assert upstream.idle == []
        assert not upstream.connection.usable


@pytest.mark.parametrize("segment_bytes", _SEGMENT_BYTES)
@pytest.mark.parametrize("name", RESPONSES)
@on_loop
def test_whole_response_is_received(name, segment_bytes):
    response = RESPONSES[name]
    upstream = BrokenUpstream(response.is_for_head)
    upstream.receive(response.data, segment_bytes)
    if response.is_until_close:
        upstream.end("close")
    [received] = upstream.received
    assert received.body == (b"whole" if response.body else b"")
    assert received.headers[b"stamp"] == b"s1"


@pytest.mark.parametrize("name", [n for n, r in RESPONSES.items() if r.is_until_close])
@on_loop
def test_response_without_a_length_ends_with_an_orderly_close_only(name):
    response = RESPONSES[name]
    for size in range(len(response.head), len(response.data) + 1):
        closed, reset = BrokenUpstream(), BrokenUpstream()
        for upstream, ending in ((closed, "close"), (reset, "reset")):
            upstream.receive(response.data[:size])
            upstream.end(ending)
            assert upstream.idle == []
        body = response.data[len(response.head) : size]
        assert [r.body for r in closed.received] == [body]
        assert reset.received == [None]


@pytest.mark.parametrize("segment_bytes", _SEGMENT_BYTES)
@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("name", MALFORMED)
@on_loop
def test_malformed_head_is_no_response(name, ending, segment_bytes):
    """Guards against a body that is delimited by a malformed line."""
    data = MALFORMED[name] + b"whole"
    for size in range(1, len(data) + 1):
        upstream = BrokenUpstream()
        upstream.receive(data[:size], segment_bytes)
        upstream.end(ending)
        assert upstream.received == [None], size
        assert upstream.idle == []


@pytest.mark.parametrize("segment_bytes", _SEGMENT_BYTES)
@pytest.mark.parametrize("further", FURTHER_RESPONSES)
@pytest.mark.parametrize("name", RESPONSES)
@on_loop
def test_head_that_another_response_follows_is_no_response(
    name, further, segment_bytes
):
    """Guards against the status of one response with the body of another.

    An upstream breaks off a head and sends another response on the same connection.
    """
    response = RESPONSES[name]
    for size in _sizes_within_heads(response.head):
        upstream = BrokenUpstream(response.is_for_head)
        upstream.receive(response.data[:size], segment_bytes)
        upstream.receive(FURTHER_RESPONSES[further], segment_bytes)
        upstream.end("close")
        assert upstream.received == [None], size
        assert upstream.idle == []


def _sizes_within_heads(head: bytes) -> list[int]:
    """Return the sizes at which a head, or an interim one before it, is incomplete."""
    ends = {0} | {n for n in range(len(head)) if head[:n].endswith(b"\r\n\r\n")}
    return [size for size in range(len(head)) if size not in ends]
