"""Tests of responses by the server itself to requests that its handler never gets."""

import pytest

from rattanfork_node.http1 import RequestLimits
from rattanfork_node.http1.tests.fakes import Client

LIMITS = RequestLimits(max_head_bytes=200, max_body_bytes=3, head_timeout=3.0)
COMPLETE = b"POST /a/ HTTP/1.1\r\nHost: h\r\nRattanfork-Request-Id: r1\r\n\r\n"
CHUNKED = b"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
#: Bytes that the server rejects, and its status.
REJECTED = {
    "slow head": (b"POST /a/ HTTP/1.1\r\nHost: h\r\n", 408),
    "no request": (b"\x01\x02\r\n\r\n", 400),
    "no host": (b"POST /a/ HTTP/1.1\r\n\r\n", 400),
    "long body": (
        b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd",
        413,
    ),
    "long head": (b"POST /a/ HTTP/1.1\r\nX: " + b"x" * 200 + b"\r\n\r\n", 431),
}


@pytest.mark.parametrize("case", REJECTED)
def test_rejection_is_not_the_response_to_a_request_in_progress(case):
    """Guards against a status that says that a request has not run while it runs.

    An earlier request of the connection is still in progress.  The rejection is sent
    after its response and without its ID, and later bytes reach no handler.
    """
    rejected, status = REJECTED[case]
    client = Client(LIMITS)
    client.send(COMPLETE)
    client.send(rejected)
    client.clock.advance(3.5)
    client.server.sweep()
    assert client.transport.written == b""
    client.send(b"\r\n" + COMPLETE)
    [exchange] = client.handled
    exchange.respond(200)
    assert client.statuses == [200, status]
    _, _, rejection = client.transport.written.partition(b"HTTP/1.1 %d" % status)
    assert b"r1" not in rejection
    assert b"Connection: close" in rejection


@pytest.mark.parametrize("case", REJECTED)
def test_rejected_request_never_reaches_the_handler(case):
    rejected, status = REJECTED[case]
    client = Client(LIMITS)
    client.send(rejected)
    client.clock.advance(3.5)
    client.server.sweep()
    assert client.statuses == [status]
    client.send(b"\r\n" + COMPLETE)
    assert client.handled == []


@pytest.mark.parametrize("begin", [b"0\r\nX: ", b"1;"])
def test_endless_trailer_or_chunk_extension_is_rejected(begin):
    """Guards against memory and time spent on a request that does not end."""
    client = Client(LIMITS)
    client.send(CHUNKED + begin)
    for _ in range(5):
        client.send(b"x" * 100)
    assert client.statuses == [431]
    assert client.handled == []


def test_request_whose_body_is_incomplete_never_reaches_the_handler():
    """A truncated body ends with its connection; nothing of it may run."""
    client = Client()
    client.send(b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabc")
    client.connection.connection_lost(None)
    assert client.handled == []
    assert client.transport.written == b""


def test_server_reports_requests_without_response_and_unsent_bytes():
    """A stopping node waits for both."""
    client = Client()
    client.send(COMPLETE + COMPLETE)
    first, second = client.handled
    second.respond(200)
    assert client.server.pending == [first]
    assert client.server.in_flight == 2
    client.transport.unsent_bytes = 700
    assert client.server.unsent_bytes == 700
