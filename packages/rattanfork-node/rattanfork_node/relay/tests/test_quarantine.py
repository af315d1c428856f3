"""Tests of the quarantine of requests that crash upstreams."""

from rattanfork_core.request import Outcome, Reason

from rattanfork_node.relay.tests.fakes import GateHarness, RelayHarness, on_loop

ANSWERED, NOT_RUN, UNKNOWN = Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN


def quarantine(harness, fingerprint: int) -> None:
    """Quarantine a request by reporting two crashes with it as a suspect."""
    harness.quarantine.report(1, [fingerprint])
    harness.quarantine.report(2, [fingerprint])


@on_loop
async def test_entry_node_refuses_quarantined_request():
    harness = RelayHarness(peers=1)
    first = harness.send_request("/a/x")
    quarantine(harness, first.fingerprint)
    refused = harness.send_request("/a/x", request_id="r2")
    other = harness.send_request("/a/y", request_id="r3")
    status, block, _ = refused.output
    assert status == 503
    assert b"Retry-After: 60" in block
    assert len(harness.links[0].runs) == 2
    assert other.output is None
    assert harness.log.lines[-1]["reason"] == "quarantined"


@on_loop
async def test_request_is_accepted_after_quarantine_expires():
    harness = RelayHarness(peers=1)
    first = harness.send_request("/a/x")
    quarantine(harness, first.fingerprint)
    harness.clock.advance(301)
    harness.send_request("/a/x", request_id="r2")
    assert len(harness.links[0].runs) == 2


def test_gate_refuses_quarantined_request():
    """The entry node may not have received the crash reports yet."""
    harness = GateHarness(slots=4)
    probe, _ = harness.submit("r0")
    quarantine(harness, probe.fingerprint)
    _, results = harness.submit("r1")
    assert [(r.outcome, r.reason) for r in results] == [(NOT_RUN, Reason.QUARANTINED)]
    assert not results[0].retry_elsewhere
    assert [c.sent for c in harness.pool.connections[1:]] == [b""]
    assert harness.gate.outstanding == 1


def test_waiting_request_is_refused_once_quarantined():
    harness = GateHarness(slots=1)
    harness.submit("r0", target=b"/other")
    waiting, results = harness.submit("r1")
    quarantine(harness, waiting.fingerprint)
    harness.answer(0)
    assert results[0].reason is Reason.QUARANTINED


@on_loop
async def test_quarantine_refusal_of_a_gate_has_retry_after():
    harness = RelayHarness(peers=1)
    exchange = harness.send_request("/a/x")
    quarantine(harness, exchange.fingerprint)
    harness.links[0].reply(0, NOT_RUN, Reason.QUARANTINED)
    status, block, _ = exchange.output
    assert status == 503
    assert b"Retry-After: 60" in block


@on_loop
async def test_request_is_not_retried_after_two_lost_upstreams():
    """Guards against one request that crashes every instance of a service."""
    harness = RelayHarness(peers=4, most_upstreams=4)
    exchange = harness.send_request("/a/x")
    for _ in range(4):
        for link, index in harness.runs:
            if index == len(link.runs) - 1 and not exchange.answered:
                link.reply(index, UNKNOWN, Reason.CONNECTION, retry_elsewhere=True)
    assert len(harness.runs) == 2
    assert exchange.output[0] == 502


@on_loop
async def test_lost_run_of_a_suspect_is_retried_once():
    """Guards against failed reads whenever an upstream crashes on its own."""
    harness = RelayHarness(peers=2, most_upstreams=2)
    exchange = harness.send_request("/a/x")
    harness.quarantine.report(1, [exchange.fingerprint])
    [(link, index)] = harness.runs
    link.reply(index, UNKNOWN, Reason.CONNECTION, retry_elsewhere=True)
    assert len(harness.runs) == 2


@on_loop
async def test_request_after_quarantine_is_not_retried_after_a_crash():
    harness = RelayHarness(peers=2, most_upstreams=2)
    probe = harness.send_request("/a/x")
    quarantine(harness, probe.fingerprint)
    harness.clock.advance(301)
    exchange = harness.send_request("/a/x", request_id="r2")
    ran = len(harness.runs)
    link, index = next(
        (link, index)
        for link, index in harness.runs
        if link.runs[index][0].request_id == b"r2"
    )
    link.reply(index, UNKNOWN, Reason.CONNECTION, retry_elsewhere=True)
    assert len(harness.runs) == ran
    assert exchange.output[0] == 502


@on_loop
async def test_crash_report_names_requests_in_flight():
    harness = GateHarness(slots=4)
    reports = []
    harness.gate.crash_detector.on_crash = lambda *report: reports.append(report)
    job, _ = harness.submit("r1")
    harness.pool.settled_connections, harness.pool.accepting = 0, False
    harness.pool.connections[0].done(None)
    await harness.gate.crash_detector._task
    assert [suspects for _, suspects in reports] == [{job.fingerprint}]


@on_loop
async def test_crash_report_omits_recently_successful_requests():
    harness = GateHarness(slots=4)
    reports = []
    harness.gate.crash_detector.on_crash = lambda *report: reports.append(report)
    harness.submit("r1")
    harness.answer(0)
    harness.submit("r2")
    harness.pool.settled_connections, harness.pool.accepting = 0, False
    harness.pool.connections[1].done(None)
    await harness.gate.crash_detector._task
    assert reports == []


@on_loop
async def test_crash_report_includes_cancelled_run():
    """Guards against a crashing request whose caller always times out first."""
    harness = GateHarness(slots=4)
    reports = []
    harness.gate.crash_detector.on_crash = lambda *report: reports.append(report)
    given_up, _ = harness.submit("r1")
    other, _ = harness.submit("r2", target=b"/other")
    harness.gate.cancel(given_up)
    harness.pool.settled_connections, harness.pool.accepting = 0, False
    harness.pool.connections[1].done(None)
    await harness.gate.crash_detector._task
    [(_, suspects)] = reports
    assert suspects == {given_up.fingerprint, other.fingerprint}


def test_quarantined_request_is_not_marked_as_handed_over():
    """Guards against a fence verdict of "handed over" for a refused request."""
    harness = GateHarness(slots=4)
    marked = []
    probe, _ = harness.submit("r0")
    quarantine(harness, probe.fingerprint)
    harness.submit("r1", may_hand_over=lambda: not marked.append("r1"))
    assert marked == []
