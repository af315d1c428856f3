"""Tests of large request bodies: collected, held, and sent to an upstream."""

from rattanfork_node.http1 import PART_BYTES, HeldBody
from rattanfork_node.http1.request_body import BodyBuffer
from rattanfork_node.http1.tests.test_upstream import Upstream, on_loop, response

BODY = bytes(range(256)) * 4_096


def test_body_in_tiny_chunks_is_collected_in_few_parts():
    """Guards against a body that takes a multiple of its size in memory."""
    buffer = BodyBuffer()
    for start in range(0, len(BODY), 7):
        buffer.append(BODY[start : start + 7])
    assert buffer.size == len(BODY)
    parts = buffer.take_parts()
    assert b"".join(parts) == BODY
    assert len(parts) <= len(BODY) // PART_BYTES + 1


def test_each_attempt_reads_the_body_from_its_begin():
    """Guards against a retry that sends the rest of a body in place of the whole."""
    body = HeldBody([BODY[:100_000], BODY[100_000:]])
    first, second = body.open(), body.open()
    assert first.read()
    parts = []
    while part := second.read():
        assert len(part) <= PART_BYTES
        parts.append(part)
    assert b"".join(parts) == BODY
    assert second.remaining == 0
    assert first.remaining == len(BODY) - PART_BYTES


class PausingUpstream(Upstream):
    """Upstream that reads nothing while it is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.body = HeldBody([BODY])
        self.connection.pause_writing()
        self.connection.send(
            b"head", b"r1", self.responses.append, body=self.body.open()
        )


@on_loop
def test_body_is_written_only_as_fast_as_the_upstream_reads():
    """Guards against a whole body in the buffer of a connection."""
    upstream = PausingUpstream()
    assert upstream.transport.written == b"head"
    upstream.connection.resume_writing()
    assert upstream.transport.written == b"head" + BODY
    upstream.receive(response())
    assert upstream.idle == [upstream.connection]


@on_loop
def test_connection_with_an_early_response_is_not_used_again():
    """Guards against a request that an upstream takes for the rest of a body."""
    upstream = PausingUpstream()
    upstream.receive(response())
    assert upstream.responses[0].status == 200
    assert upstream.idle == []
    assert upstream.transport.closed
    upstream.connection.resume_writing()
    assert upstream.transport.written == b"head"


@on_loop
def test_discarded_body_is_not_sent_on():
    """Guards against a body that is ended early and looks complete."""
    upstream = PausingUpstream()
    upstream.body.discard()
    upstream.connection.resume_writing()
    assert upstream.transport.written == b"head"
    assert not upstream.idle
