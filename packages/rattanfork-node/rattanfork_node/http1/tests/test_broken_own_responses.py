"""Tests of what a client sees of a node that ends within a response."""

import asyncio

import pytest

from rattanfork_node.http1 import PART_BYTES, HeldBody
from rattanfork_node.http1.tests.fakes import Client
from rattanfork_node.http1.tests.test_broken_heads import BrokenUpstream

_ID_LINE = b"Id: r1\r\n"
_LARGE_BODY = b"0123456789abcdef" * (PART_BYTES // 8)
#: Bytes at the beginning and end of a response after each of which it is broken off;
#: between them, only some.
_EDGE_BYTES = 300
_STRIDE_BYTES = 1009
#: Status and body of a response.
OUTPUTS = {
    "body": (200, b"whole"),
    "empty body": (200, b""),
    "large body": (200, _LARGE_BODY),
    "no content": (204, b""),
    "not modified": (304, b""),
    "failure": (500, b"failed"),
    "refusal": (503, b""),
    "unusual status": (299, b"whole"),
}
#: Method, version and further lines of a request.
REQUESTS = {
    "kept connection": (b"GET", b"1.1", b""),
    "last request": (b"GET", b"1.1", b"Connection: close\r\n"),
    "HEAD": (b"HEAD", b"1.1", b""),
    "HTTP/1.0": (b"GET", b"1.0", b""),
    "HTTP/1.0, kept": (b"GET", b"1.0", b"Connection: keep-alive\r\n"),
}


def assert_never_whole(data: bytes, is_for_head: bool) -> None:
    """Assert that a response is complete with its last byte, and not before."""
    for ending in ("close", "reset"):
        for size in range(len(data)):
            is_at_edge = size < _EDGE_BYTES or size > len(data) - _EDGE_BYTES
            if is_at_edge or size % _STRIDE_BYTES == 0:
                client = BrokenUpstream(is_for_head)
                client.receive(data[:size])
                client.end(ending)
                assert client.received == [None], size
    client = BrokenUpstream(is_for_head)
    client.receive(data)
    assert len(client.received) == 1


@pytest.mark.parametrize("output", OUTPUTS)
@pytest.mark.parametrize("name", REQUESTS)
def test_response_of_a_node_that_ends_is_not_framed_as_whole(name, output):
    """Guards against a broken response that clients take for a whole one."""
    method, version, lines = REQUESTS[name]
    status, body = OUTPUTS[output]

    async def run() -> None:
        client = Client()
        request_line = b"%b /a/ HTTP/%b\r\n" % (method, version)
        client.send(request_line + b"Host: h.example\r\n" + lines + b"\r\n")
        parts = [body[n : n + PART_BYTES] for n in range(0, len(body), PART_BYTES)]
        held = HeldBody(parts) if len(body) > PART_BYTES else body
        client.handled[0].respond(status, _ID_LINE, held)
        assert_never_whole(client.transport.written, method == b"HEAD")

    asyncio.run(run())


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"GET /a/ HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        b"GET /a/ HTTP/1.1\r\nHost: h\r\nA: " + b"x" * 100_000 + b"\r\n\r\n",
    ],
    ids=["malformed", "malformed length", "long head"],
)
def test_refusal_of_a_node_that_ends_is_not_framed_as_whole(data):
    """Guards against the same for responses that a connection makes itself."""

    async def run() -> None:
        client = Client()
        client.send(data)
        assert_never_whole(client.transport.written, is_for_head=False)

    asyncio.run(run())
