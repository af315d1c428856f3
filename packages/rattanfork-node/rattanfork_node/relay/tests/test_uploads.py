"""Tests of uploads at the entry node and at the gate, without sockets."""

import asyncio
import gc
import re

import pytest
from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.quota import QuotaDecision
from rattanfork_core.request import FenceVerdict, Outcome, Reason
from rattanfork_core.revision import RevisionState
from rattanfork_core.routes import Configuration, Route, WeightedService
from rattanfork_core.uploads import BodyBudget

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.http1 import (
    Exchange,
    HeaderNames,
    HttpServer,
    RequestLimits,
    ServerConnection,
    Upload,
    UploadResources,
    fingerprint_of,
)
from rattanfork_node.http1.tests.fakes import FakeTransport
from rattanfork_node.relay import DrainPolicy, RelayPeerHandler
from rattanfork_node.relay.tests.fakes import GateHarness, RelayHarness, on_loop
from rattanfork_node.relay.tests.test_upstream_reports import RUN, GateLink
from rattanfork_node.telemetry import Counters

NOT_RUN, ANSWERED = int(Outcome.NOT_RUN), int(Outcome.ANSWERED)
BODY = b"x" * 20_000
CLERKS = ClientAccount("clerks", priority=1, rate=10, burst=10)


class UploadHarness(RelayHarness):
    """A relay behind a client connection with a fake transport."""

    def __init__(self, capacity: int = 1 << 20, **more) -> None:
        super().__init__(**{"peers": 1, "upload": True, "idempotent": False, **more})
        self.budget = BodyBudget(capacity)
        self.server = HttpServer(
            self.clock,
            HeaderNames(),
            RequestLimits(),
            self.relay,
            UploadResources(self.budget, self.counters.events),
        )
        self.client = self.connect()

    def connect(self) -> "UploadClient":
        return UploadClient(self.server)

    @property
    def request_lines(self) -> list[dict]:
        return [line for line in self.log.lines if line["kind"] == "request"]


class UploadClient:
    """A client connection to the relay."""

    def __init__(self, server: HttpServer) -> None:
        self.transport = FakeTransport()
        self.connection = ServerConnection(server)
        self.connection.connection_made(self.transport)

    def send_head(self, request_id: str = "u1", path: str = "/a/x", more: str = ""):
        self.send(
            f"POST {path} HTTP/1.1\r\nHost: h\r\nRattanfork-Request-Id: {request_id}"
            f"\r\nContent-Length: {len(BODY)}\r\n{more}\r\n".encode()
        )

    def send(self, data: bytes) -> None:
        self.connection.data_received(data)

    @property
    def statuses(self) -> list[int]:
        found = re.findall(rb"HTTP/1\.1 (\d+) ", self.transport.written)
        return [int(status) for status in found]


@on_loop
async def test_upload_is_forwarded_once_its_body_is_complete():
    harness = UploadHarness()
    harness.client.send_head()
    harness.client.send(BODY[:-1])
    assert harness.runs == []
    harness.clock.advance(0.4)
    harness.client.send(BODY[-1:])
    [link] = harness.links
    run, _ = link.runs[0]
    assert (run.body, run.idempotent) == (BODY, False)
    # The time of reading counts against the timeout of the route.
    assert run.time_left_ms <= 600
    link.reply(0, ANSWERED, status=200)
    assert harness.client.statuses == [200]
    [line] = harness.request_lines
    assert line["upload"] == {
        "state": "complete",
        "declared": 20_000,
        "received": 20_000,
        "waited_ms": 0.0,
    }
    assert line["ms"] == 400.0
    assert harness.counters.events["upload.read"] == 1


@on_loop
async def test_large_body_on_another_route_is_served_as_before():
    harness = UploadHarness(upload=False)
    harness.client.send_head()
    assert harness.client.transport.reading
    harness.client.send(BODY)
    assert len(harness.runs) == 1
    harness.links[0].reply(0, ANSWERED, status=200)
    assert "upload" not in harness.request_lines[0]
    assert not any(name.startswith("upload") for name in harness.counters.events)


@on_loop
async def test_shed_upload_is_refused_from_its_head():
    """The only instance announces that it sheds; the client still sends the body."""
    harness = UploadHarness()
    harness.send_request()
    harness.links[0].reply(0, ANSWERED, status=200, cut=2.0)
    harness.client.send_head()
    assert harness.client.statuses == [503]
    assert b"Connection: close" in harness.client.transport.written
    assert b"Retry-After: " in harness.client.transport.written
    line = harness.request_lines[-1]
    assert (line["reason"], line["fingerprint"]) == ("shed-early", "")
    assert line["upload"]["received"] == 0


@on_loop
async def test_upload_is_refused_if_shedding_began_while_it_was_read():
    harness = UploadHarness()
    harness.client.send_head()
    harness.send_request()
    harness.links[0].reply(0, ANSWERED, status=200, cut=2.0)
    harness.client.send(BODY)
    assert harness.client.statuses == [503]
    assert len(harness.runs) == 1


@on_loop
async def test_draining_node_decides_again_once_the_body_is_there():
    """Guards against an upload that is cut off when the process exits."""
    harness = UploadHarness(timeout=1.0)
    end = harness.clock.now() + 1.5
    harness.relay.drain(DrainPolicy(harness.clock, end, 0.0))
    harness.client.send_head()
    harness.clock.advance(0.6)
    harness.client.send(BODY)
    assert harness.client.statuses == [503]
    assert harness.runs == []
    late = harness.connect()
    late.send_head(request_id="u2")
    assert late.statuses == [503]


@on_loop
async def test_quarantine_is_checked_once_the_body_is_there():
    """A fingerprint covers the body, so the head alone decides nothing."""
    harness = UploadHarness()
    block = b"Host: h\r\n"
    fingerprint = fingerprint_of(b"POST", b"/a/x", block, BODY)
    harness.quarantine.report(1, [fingerprint])
    harness.quarantine.report(2, [fingerprint])
    harness.client.send_head()
    assert harness.client.statuses == []
    harness.client.send(BODY)
    assert harness.client.statuses == [503]
    assert harness.request_lines[-1]["reason"] == "quarantined"
    other = harness.connect()
    other.send_head(request_id="u2")
    other.send(b"y" * len(BODY))
    assert len(harness.runs) == 1


@on_loop
async def test_trickling_upload_gets_408_at_the_timeout_of_its_route():
    harness = UploadHarness(timeout=0.06)
    harness.client.send_head()
    harness.client.send(BODY[:10])
    await asyncio.sleep(0.1)
    assert harness.client.statuses == [408]
    assert harness.runs == []
    assert harness.request_lines[-1]["reason"] == "body-timeout"


@on_loop
async def test_upload_without_room_gets_503_at_the_timeout_of_its_client():
    harness = UploadHarness(capacity=50_000, timeout=30.0)
    harness.client.send_head()
    waiting = harness.connect()
    waiting.send_head(request_id="u2", more="Rattanfork-Timeout-Ms: 60\r\n")
    assert not waiting.transport.reading
    await asyncio.sleep(0.1)
    assert (harness.client.statuses, waiting.statuses) == ([], [503])
    assert harness.request_lines[-1]["reason"] == "no-body-room"
    assert b"Retry-After: " in waiting.transport.written


@on_loop
async def test_body_over_what_the_node_can_hold_gets_503_from_its_head():
    """Guards against a proper request that is ended as a fault of its client."""
    harness = UploadHarness(capacity=30_000)
    harness.client.send_head()
    assert harness.client.statuses == [503]
    assert b"Retry-After" in harness.client.transport.written


@on_loop
async def test_body_over_the_operators_limit_gets_413_from_its_head():
    harness = UploadHarness()
    harness.server.limits = RequestLimits(max_body_bytes=len(BODY) - 1)
    harness.client.send_head()
    assert harness.client.statuses == [413]
    assert b"Retry-After" not in harness.client.transport.written


@on_loop
async def test_body_is_not_read_before_its_key_is_known():
    harness = UploadHarness(accounts={CLERKS: ["key-of-clerks"]})
    harness.client.send_head(more="Rattanfork-Key: new\r\n")
    assert not harness.client.transport.reading
    harness.change_accounts({CLERKS: ["key-of-clerks", "new"]})
    assert harness.client.transport.reading
    harness.client.send(BODY)
    assert harness.links[0].runs[0][0].account == "clerks"


@on_loop
async def test_upload_over_quota_is_refused_from_its_head():
    harness = UploadHarness(accounts={CLERKS: ["key-of-clerks"]})
    harness.quota.decision, harness.quota.retry_after = QuotaDecision.EXHAUSTED, 0.5
    harness.client.send_head(more="Rattanfork-Key: key-of-clerks\r\n")
    assert harness.client.statuses == [429]
    assert b"Connection: close" in harness.client.transport.written


@on_loop
@pytest.mark.parametrize("ending", ["disconnect", "truncate", "trickle"])
async def test_quota_of_an_upload_that_was_not_received_is_refunded(ending):
    harness = UploadHarness(accounts={CLERKS: ["key-of-clerks"]}, timeout=0.05)
    harness.client.send_head(more="Rattanfork-Key: key-of-clerks\r\n")
    harness.client.send(BODY[:100])
    if ending == "disconnect":
        harness.client.connection.connection_lost(None)
    elif ending == "truncate":
        harness.client.connection.eof_received()
    else:
        await asyncio.sleep(0.1)
    assert harness.quota.refunded == ["clerks"]
    assert harness.budget.held == 0
    assert harness.runs == []


@on_loop
async def test_disconnect_during_the_body_is_logged_but_no_loss():
    harness = UploadHarness()
    harness.client.send_head()
    harness.client.connection.connection_lost(None)
    [line] = harness.request_lines
    assert (line["reason"], line["status"]) == ("cancelled", 0)
    assert not harness.counters.losses


@on_loop
async def test_upload_of_a_run_inherits_its_rank_and_ends_with_it():
    harness = UploadHarness()
    harness.gate_harness.submit("run", rank=1.5)
    harness.client.send_head(request_id="run.01", path="/i/x")
    harness.client.send(BODY)
    assert int(harness.links[0].runs[0][0].rank) == 1
    parent = harness.gate.parent_of(b"run.01")
    cut = harness.connect()
    cut.send_head(request_id="run.02", path="/i/x")
    cut.send(BODY[:100])
    harness.gate.cancel(parent)
    assert cut.statuses == [503]
    assert len(harness.runs) == 1


@on_loop
@pytest.mark.parametrize("reason", [Reason.UPSTREAM_SHED, Reason.STALE_INSTANCE])
async def test_upload_is_not_sent_again_after_an_upstream_refused_it(reason):
    """The upstream has received bytes of the body; the client may retry the 503."""
    harness = UploadHarness(peers=3, most_upstreams=3)
    harness.client.send_head()
    harness.client.send(BODY)
    [(link, index)] = harness.runs
    link.reply(index, NOT_RUN, reason, retry_elsewhere=True)
    assert len(harness.runs) == 1
    assert harness.client.statuses == [503]


@on_loop
async def test_upload_that_reached_no_upstream_is_sent_elsewhere():
    """The gate refuses it, or the link is lost and the gate fences it."""
    harness = UploadHarness(peers=3, most_upstreams=3)
    harness.pool.verdicts = [FenceVerdict.NOT_RUN]
    harness.client.send_head()
    harness.client.send(BODY)
    [(first, index)] = harness.runs
    first.reply(index, NOT_RUN, Reason.SHED, retry_elsewhere=True)
    [(second, index)] = [run for run in harness.runs if run[0] is not first]
    second.lose(index)
    await asyncio.sleep(0.01)
    assert len(harness.runs) == 3


@on_loop
async def test_upload_whose_outcome_is_unknown_is_not_sent_again():
    harness = UploadHarness(peers=2, most_upstreams=2)
    harness.pool.verdicts = [FenceVerdict.HANDED_OVER]
    harness.client.send_head()
    harness.client.send(BODY)
    [(link, index)] = harness.runs
    link.lose(index)
    await asyncio.sleep(0.01)
    assert len(harness.runs) == 1
    assert harness.client.statuses == [502]


@on_loop
async def test_room_is_returned_once_the_upload_is_answered():
    harness = UploadHarness()
    for number in range(3):
        harness.client.send_head(request_id=f"u{number}")
        harness.client.send(BODY)
        assert harness.budget.held == len(BODY)
        harness.links[0].reply(number, ANSWERED, status=200)
        assert harness.budget.held == 0
    assert harness.client.statuses == [200] * 3


@on_loop
@pytest.mark.parametrize("ending", ["answered", "refused", "disconnected"])
async def test_body_is_freed_without_garbage_collection(ending):
    """Guards against bodies of answered uploads that fill the memory of the node."""
    harness = UploadHarness()
    gc.collect()
    gc.disable()
    try:
        harness.client.send_head()
        if ending == "answered":
            harness.client.send(BODY)
            harness.links[0].reply(0, ANSWERED, status=200)
            harness.links[0].runs.clear()
        else:
            harness.client.send(BODY[:100])
            if ending == "disconnected":
                harness.client.connection.connection_lost(None)
            else:
                harness.client.connection.eof_received()
        kept = [o for o in gc.get_objects() if isinstance(o, Upload | Exchange)]
        assert kept == []
    finally:
        gc.enable()


def test_gate_bounds_the_bytes_of_uploads_it_holds():
    """Bodies come from all nodes; each of them may be within its own budget."""
    harness = GateHarness(slots=1, upload_bytes=50_000)
    upload = {"body": BODY, "counted_bytes": len(BODY), "idempotent": False}
    results = [harness.submit(f"u{n}", **upload)[1] for n in range(3)]
    small, _ = harness.submit("r1", body=b"small")
    [refused] = results[2]
    assert (refused.outcome, refused.reason) == (Outcome.NOT_RUN, Reason.SHED)
    assert refused.retry_elsewhere
    assert not small.ended
    assert harness.gate.upload_bytes == 40_000
    harness.answer(0)
    assert harness.gate.upload_bytes == 20_000


@pytest.mark.parametrize(
    ("route", "body", "held"),
    [("u", BODY, 20_000), ("u", b"x", 0), ("r", BODY, 20_000), ("r", b"x", 0)],
)
def test_gate_counts_all_but_the_smallest_bodies(route, body, held):
    """Guards against bodies from many nodes, each too small for a bound of its own."""
    services = (WeightedService("s"),)
    routes = (
        Route("u", "h", "/u/", services, upload=True),
        Route("r", "h", "/r/", services),
    )
    holder = ConfigurationHolder(lambda _: Configuration(1, routes, {}))
    holder.offer(b"-")
    harness = GateHarness(slots=4)
    handler = RelayPeerHandler(
        harness.clock, harness.gate, holder, RevisionState(), Counters()
    )
    link = GateLink(1)
    handler.on_open(link)
    handler.on_run(link, RUN._replace(route=f"{route}/s", body=body))
    assert harness.gate.upload_bytes == held
