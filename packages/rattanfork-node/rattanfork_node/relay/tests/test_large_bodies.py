"""Tests of bodies that nodes pass on in parts, without sockets."""

import gc

import pytest
from rattanfork_core.request import FenceVerdict, Outcome, Reason
from rattanfork_core.revision import RevisionState

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.http1 import PART_BYTES, HeldBody
from rattanfork_node.peer import (
    BodyCredit,
    BodyPart,
    BodyStart,
    FrameError,
    PeerLink,
)
from rattanfork_node.peer.tests.test_link import FakeTransport, LinkPair
from rattanfork_node.relay import RelayPeerHandler
from rattanfork_node.relay.remote_body import RemoteBody
from rattanfork_node.relay.tests.fakes import GateHarness, on_loop
from rattanfork_node.relay.tests.test_uploads import UploadHarness
from rattanfork_node.relay.tests.test_upstream_reports import RUN, GateLink
from rattanfork_node.telemetry import Counters

BODY = bytes(range(256)) * 8_192
ANSWERED = int(Outcome.ANSWERED)


def send(harness: UploadHarness, body: bytes = BODY, chunked: bool = False) -> None:
    """Send a request with a large body over the client connection of a harness."""
    framing = f"Content-Length: {len(body)}"
    data = body
    if chunked:
        framing = "Transfer-Encoding: chunked"
        data = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    head = f"POST /a/x HTTP/1.1\r\nHost: h\r\nRattanfork-Request-Id: u1\r\n{framing}"
    harness.client.send(head.encode() + b"\r\n\r\n")
    for start in range(0, len(data), 50_000):
        harness.client.send(data[start : start + 50_000])


def ordinary(**more) -> UploadHarness:
    """Return a relay whose route is not one of uploads."""
    harness = UploadHarness(32 << 20, upload=False, **more)
    for link in harness.links:
        link.peer_level = 3
        link.send_body = lambda number, reader, fingerprint, link=link: (
            link.sent.append((number, reader, fingerprint))
        )
    return harness


def read_all(reader) -> bytes:
    parts = []
    while part := reader.read():
        parts.append(part)
    return b"".join(parts)


@on_loop
@pytest.mark.parametrize("chunked", [False, True])
async def test_large_body_on_any_route_counts_against_the_budget(chunked):
    """Guards against bodies on ordinary routes that no budget counts."""
    harness = ordinary()
    send(harness, chunked=chunked)
    [link] = harness.links
    [(run, _)] = link.runs
    [(number, reader, fingerprint)] = link.sent
    assert (run.number, run.body) == (number, b"")
    assert harness.budget.held + harness.budget.large_held == len(BODY)
    assert read_all(reader) == BODY
    link.reply(0, ANSWERED, status=200)
    assert harness.client.statuses == [200]
    assert harness.budget.held + harness.budget.large_held == 0
    # The body is freed even if the link still refers to it.
    assert reader._body.parts == []
    assert harness.client.transport.reading
    assert fingerprint


@on_loop
async def test_peer_of_an_earlier_build_gets_the_whole_body_with_the_run():
    """Guards against messages that a node of an earlier build rejects."""
    harness = ordinary()
    harness.links[0].peer_level = 2
    send(harness)
    [(run, _)] = harness.links[0].runs
    assert run.body == BODY
    assert harness.links[0].sent == []


@on_loop
async def test_retry_sends_the_whole_body_again():
    harness = ordinary(peers=2)
    send(harness)
    [(first, index)] = harness.runs
    assert first.sent[0][1].read()
    first.reply(index, int(Outcome.NOT_RUN), int(Reason.SHED), retry_elsewhere=True)
    [second] = [link for link, _ in harness.runs if link is not first]
    assert read_all(second.sent[0][1]) == BODY


@on_loop
async def test_large_body_is_refused_before_it_is_read_without_a_configuration():
    """Guards against bodies that fill a node which can't serve them yet."""
    harness = ordinary()
    harness.holder._current = None
    harness.client.send(
        b"POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 99000000\r\n\r\n"
    )
    assert harness.client.statuses == [503]
    assert harness.budget.held == 0


class GateSide:
    """The gate's side of a link, and the body of one run that it receives."""

    def __init__(self, body: bytes = BODY, slots: int = 4, **run) -> None:
        self.gate = GateHarness(slots=slots)
        self.handler = RelayPeerHandler(
            self.gate.clock,
            self.gate.gate,
            ConfigurationHolder(lambda _: None),
            RevisionState(),
            Counters(),
        )
        self.link = GateLink(3)
        self.handler.on_open(self.link)
        self.handler.on_body_start(self.link, BodyStart(1, len(body), 77))
        self.handler.on_run(self.link, RUN._replace(number=1, body=b"", **run))

    @property
    def allowed(self) -> int:
        """Offset up to which the gate has asked for the body."""
        credits = [m for m in self.link.replies if hasattr(m, "offset")]
        return credits[-1].offset if credits else 0

    def receive(self, start: int, end: int) -> None:
        for begin in range(start, end, PART_BYTES):
            part = BodyPart(1, BODY[begin : min(end, begin + PART_BYTES)])
            self.handler.on_body_part(self.link, part)


def test_gate_passes_on_a_body_with_a_window_of_it_in_memory():
    """Guards against whole bodies at the gate, whatever its upstream reads."""
    side = GateSide()
    [connection] = side.gate.pool.connections
    assert b"Content-Length: %d\r\n" % len(BODY) in connection.sent
    assert side.allowed == 0
    received = 0
    passed_on = bytearray(connection.body.read())
    while len(passed_on) < len(BODY):
        assert side.allowed - len(passed_on) <= 256 << 10
        side.receive(received, side.allowed)
        received = side.allowed
        while part := connection.body.read():
            passed_on += part
    assert passed_on == BODY
    side.gate.answer(0)
    assert side.link.bodies == {}


def test_run_that_waits_at_a_gate_takes_no_memory_for_its_body():
    side = GateSide()
    busy = GateHarness(slots=1)
    busy.submit("r0")
    job, _ = busy.submit(large_body=RemoteBody(side.link, BodyStart(2, 9, 0)))
    assert not job.handed_over
    assert side.allowed == 0


def test_more_of_a_body_than_was_requested_is_rejected():
    """Guards against a peer that fills the memory of a gate."""
    side = GateSide()
    side.gate.pool.connections[0].body.read()
    with pytest.raises(FrameError):
        side.receive(0, len(BODY))


@pytest.mark.parametrize("idempotent", [False, True])
def test_run_is_ended_if_the_rest_of_its_body_will_not_come(idempotent):
    """Guards against an upstream that waits for a body until its slot times out."""
    side = GateSide(idempotent=idempotent)
    side.handler.on_cancel(side.link, 1)
    assert side.gate.pool.connections[0].aborted
    reply = side.link.replies[-1]
    assert reply.outcome == int(Outcome.UNKNOWN)
    side.receive(0, 100)


def test_run_whose_whole_body_was_passed_on_continues_after_a_cancel():
    side = GateSide(BODY[:1000], idempotent=False)
    body = side.gate.pool.connections[0].body
    body.read()
    side.receive(0, 1000)
    assert body.read() == BODY[:1000]
    side.handler.on_cancel(side.link, 1)
    assert not side.gate.pool.connections[0].aborted


@pytest.mark.parametrize("lost", [True, False])
def test_verdict_on_a_run_whose_body_has_begun_is_that_it_was_handed_over(lost):
    """Guards against "not run" for a request of which a byte reached an upstream."""
    side = GateSide()
    if lost:
        side.handler.on_closed(side.link)
    log = side.handler._call_logs[side.link.connection_id]
    assert log.fence([1]) == [FenceVerdict.HANDED_OVER]


class BodyPair(LinkPair):
    """Two linked nodes; the far one records the parts that it receives."""

    def __init__(self) -> None:
        super().__init__()
        self.deliver()
        self.parts: dict[int, bytes] = {}
        self.handlers[1].on_body_part = self._on_part

    def _on_part(self, link: PeerLink, part: BodyPart) -> None:
        self.parts[part.number] = self.parts.get(part.number, b"") + part.data

    def allow(self, number: int, offset: int) -> None:
        """Allow the near node to send a body up to an offset."""
        RemoteBody(self.links[1], BodyStart(number, offset, 0)).read()

    @property
    def transport(self) -> FakeTransport:
        return self.transports[0]


@on_loop
async def test_link_sends_no_part_that_was_not_requested():
    pair = BodyPair()
    near = pair.links[0]
    near.send_body(1, HeldBody([BODY]).open(), 0)
    near._flush()
    pair.deliver()
    assert pair.parts == {}
    near._bodies.on_credit(BodyCredit(1, 100_000))
    assert len(near._transport.written) < 3 * PART_BYTES


@on_loop
async def test_other_messages_wait_behind_a_few_parts_at_most():
    """Guards against a large body that holds back all else on its link."""
    pair = BodyPair()
    near = pair.links[0]
    near.send_body(1, HeldBody([BODY]).open(), 0)
    near.pause_writing()
    near._bodies.on_credit(BodyCredit(1, len(BODY)))
    near._flush()
    assert len(pair.transport.written) < 100
    near.resume_writing()
    assert len(pair.transport.written) > len(BODY)


@on_loop
async def test_bodies_of_a_link_take_turns():
    """Guards against a body that waits until another was sent whole."""
    sent = []
    pair = BodyPair()
    near = pair.links[0]
    near._bodies._send = lambda part: sent.append(part.number)
    near.pause_writing()
    for number in (1, 2):
        near.send_body(number, HeldBody([BODY]).open(), 0)
        near._bodies.on_credit(BodyCredit(number, 3 * PART_BYTES))
    near.resume_writing()
    assert sent == [1, 2] * 3


@on_loop
async def test_body_of_an_ended_run_is_sent_no_further():
    pair = BodyPair()
    near = pair.links[0]
    near.send_body(1, HeldBody([BODY]).open(), 0)
    near.forget(1)
    near._bodies.on_credit(BodyCredit(1, len(BODY)))
    near._flush()
    assert len(pair.transport.written) < 100


@on_loop
async def test_lost_link_keeps_no_body():
    """Guards against bodies that stay in memory with a link that is gone."""
    pair = BodyPair()
    near = pair.links[0]
    body = HeldBody([BODY])
    reader = body.open()
    near.send_body(1, reader, 0)
    gc.collect()
    referrers = len(gc.get_referrers(reader))
    near.close("lost")
    assert len(gc.get_referrers(reader)) < referrers
