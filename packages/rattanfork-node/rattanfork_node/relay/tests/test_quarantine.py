"""What a node does with requests that end the upstreams that run them."""

from rattanfork_core.request import Outcome, Reason

from rattanfork_node.relay.tests.fakes import GateHarness, RelayHarness, on_loop

ANSWERED, NOT_RUN, UNKNOWN = Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN


def quarantine(world, fingerprint: int) -> None:
    """Let two upstreams have ended under a request."""
    world.quarantine.report(1, [fingerprint])
    world.quarantine.report(2, [fingerprint])


@on_loop
async def test_first_node_refuses_what_is_quarantined():
    world = RelayHarness(peers=1)
    first = world.ask("/a/x")
    quarantine(world, first.fingerprint)
    refused = world.ask("/a/x", request_id="r2")
    other = world.ask("/a/y", request_id="r3")
    status, block, _ = refused.output
    assert status == 503
    assert b"Retry-After: 60" in block
    assert len(world.links[0].runs) == 2
    assert other.output is None
    assert world.log.lines[-1]["reason"] == "quarantined"


@on_loop
async def test_quarantined_request_is_let_in_after_its_time():
    world = RelayHarness(peers=1)
    first = world.ask("/a/x")
    quarantine(world, first.fingerprint)
    world.clock.advance(301)
    world.ask("/a/x", request_id="r2")
    assert len(world.links[0].runs) == 2


def test_gate_does_not_run_what_is_quarantined():
    """Guards against a first node that has not received the report yet."""
    world = GateHarness(slots=4)
    probe, _ = world.submit("r0")
    quarantine(world, probe.fingerprint)
    _, results = world.submit("r1")
    assert [(r.outcome, r.reason) for r in results] == [(NOT_RUN, Reason.QUARANTINED)]
    assert not results[0].retry_elsewhere
    assert [c.sent for c in world.pool.connections[1:]] == [b""]
    assert world.gate.outstanding == 1


def test_waiting_request_is_not_run_once_it_is_quarantined():
    world = GateHarness(slots=1)
    world.submit("r0", target=b"/other")
    waiting, results = world.submit("r1")
    quarantine(world, waiting.fingerprint)
    world.answer(0)
    assert results[0].reason is Reason.QUARANTINED


@on_loop
async def test_caller_of_a_request_refused_at_a_gate_learns_when_to_return():
    world = RelayHarness(peers=1)
    exchange = world.ask("/a/x")
    quarantine(world, exchange.fingerprint)
    world.links[0].reply(0, NOT_RUN, Reason.QUARANTINED)
    status, block, _ = exchange.output
    assert status == 503
    assert b"Retry-After: 60" in block


@on_loop
async def test_request_that_lost_two_upstreams_is_not_sent_to_a_third():
    """Guards against one attempt that ends every instance of a service."""
    world = RelayHarness(peers=4, most_upstreams=4)
    exchange = world.ask("/a/x")
    for _ in range(4):
        for link, place in world.runs:
            if place == len(link.runs) - 1 and not exchange.answered:
                link.reply(place, UNKNOWN, Reason.CONNECTION, retry_elsewhere=True)
    assert len(world.runs) == 2
    assert exchange.output[0] == 502


@on_loop
async def test_lost_run_is_sent_to_a_second_upstream_beside_other_suspects():
    """Guards against reads that fail whenever an upstream ends by itself."""
    world = RelayHarness(peers=2, most_upstreams=2)
    exchange = world.ask("/a/x")
    world.quarantine.report(1, [exchange.fingerprint])
    [(link, place)] = world.runs
    link.reply(place, UNKNOWN, Reason.CONNECTION, retry_elsewhere=True)
    assert len(world.runs) == 2


@on_loop
async def test_request_let_in_again_crashes_one_upstream_at_most():
    world = RelayHarness(peers=2, most_upstreams=2)
    probe = world.ask("/a/x")
    quarantine(world, probe.fingerprint)
    world.clock.advance(301)
    exchange = world.ask("/a/x", request_id="r2")
    ran = len(world.runs)
    link, place = next(
        (link, place)
        for link, place in world.runs
        if link.runs[place][0].request_id == b"r2"
    )
    link.reply(place, UNKNOWN, Reason.CONNECTION, retry_elsewhere=True)
    assert len(world.runs) == ran
    assert exchange.output[0] == 502


@on_loop
async def test_crash_of_the_own_upstream_is_reported_with_its_suspects():
    world = GateHarness(slots=4)
    reports = []
    world.gate.crash_detector.on_crash = lambda *report: reports.append(report)
    job, _ = world.submit("r1")
    world.pool.open, world.pool.accepting = 0, False
    world.pool.connections[0].done(None)
    await world.gate.crash_detector._task
    assert [suspects for _, suspects in reports] == [{job.fingerprint}]


@on_loop
async def test_what_this_gate_has_seen_succeed_is_not_reported():
    world = GateHarness(slots=4)
    reports = []
    world.gate.crash_detector.on_crash = lambda *report: reports.append(report)
    world.submit("r1")
    world.answer(0)
    world.submit("r2")
    world.pool.open, world.pool.accepting = 0, False
    world.pool.connections[1].done(None)
    await world.gate.crash_detector._task
    assert reports == []


@on_loop
async def test_run_that_its_caller_gave_up_is_reported_with_the_crash():
    """Guards against a deadly request whose caller never waits for its end."""
    world = GateHarness(slots=4)
    reports = []
    world.gate.crash_detector.on_crash = lambda *report: reports.append(report)
    given_up, _ = world.submit("r1")
    other, _ = world.submit("r2", target=b"/other")
    world.gate.cancel(given_up)
    world.pool.open, world.pool.accepting = 0, False
    world.pool.connections[1].done(None)
    await world.gate.crash_detector._task
    [(_, suspects)] = reports
    assert suspects == {given_up.fingerprint, other.fingerprint}


def test_quarantined_request_is_not_marked_as_handed_over():
    """Guards against a fence that says of a request that it may have run."""
    world = GateHarness(slots=4)
    marked = []
    probe, _ = world.submit("r0")
    quarantine(world, probe.fingerprint)
    world.submit("r1", may_hand_over=lambda: not marked.append("r1"))
    assert marked == []
