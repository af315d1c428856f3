"""What the log tells of requests."""

import asyncio

from rattanfork_core.request import FenceVerdict, Outcome, Reason

from rattanfork_node.relay.tests.fakes import GateHarness, RelayHarness, on_loop

ANSWERED, NOT_RUN, UNKNOWN = Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN


@on_loop
async def test_a_refusal_names_the_thresholds_that_decided_it_and_their_age():
    """The only instance has announced that it sheds what is of little importance.

    The caller is refused at its own node; the line holds what was heard, how
    long ago, and which configuration was in force.
    """
    world = RelayHarness(peers=1)
    world.ask()
    world.links[0].reply(0, ANSWERED, status=200, cut=2.0)
    world.clock.advance(0.125)
    world.ask(request_id="r2")
    line = world.log.lines[-1]
    assert (line["kind"], line["id"], line["reason"]) == ("request", "r2", "shed-early")
    assert [*line["thresholds"].values()] == [(2.0, 0.125)]
    assert line["configuration"] == 1
    assert line["status"] == 503


@on_loop
async def test_the_line_of_a_request_has_every_attempt_in_order():
    """The first instance fails by itself, the second answers."""
    world = RelayHarness(peers=2, most_upstreams=2)
    world.ask()
    [(first, place)] = world.runs
    world.clock.advance(0.02)
    failed = Reason.UPSTREAM_FAILED
    first.reply(place, ANSWERED, failed, 500, retry_elsewhere=True)
    second, place = next(r for r in world.runs if r[0] is not first)
    second.reply(place, ANSWERED, status=200)
    [line] = world.log.lines
    assert [(t["to"], t["reason"], t["status"]) for t in line["tries"]] == [
        (first.peer, "upstream-failed", 500),
        (second.peer, "none", 200),
    ]
    assert line["tries"][0]["ms"] == 20.0
    assert line["status"] == 200


@on_loop
async def test_a_lost_connection_is_told_with_what_the_caller_got():
    """A posting's link is lost after it was handed over; nobody knows its end."""
    world = RelayHarness(peers=1, idempotent=False)
    world.pool.verdicts = [FenceVerdict.HANDED_OVER]
    world.ask()
    [(link, place)] = world.runs
    link.lose(place)
    for _ in range(5):
        await asyncio.sleep(0)
    [line] = world.log.lines
    assert [t["reason"] for t in line["tries"]] == ["connection"]
    assert (line["outcome"], line["reason"]) == ("unknown", "connection")


def test_the_line_of_a_run_tells_its_queue_and_the_state_of_the_gate():
    """One slot is taken; a second request waits for it."""
    world = GateHarness()
    world.submit("first")
    world.submit("second")
    world.clock.advance(0.05)
    world.answer(0)
    world.clock.advance(0.02)
    world.answer(1)
    line = world.log.lines[-1]
    assert (line["kind"], line["id"]) == ("run", "second")
    assert (line["queued_ms"], line["run_ms"]) == (50.0, 20.0)
    assert (line["slots"], line["upstream"]) == (1, "u1")


def test_a_refusal_at_the_gate_is_told_with_its_reason():
    world = GateHarness()
    world.gate.detach()
    world.submit("late")
    [line] = world.log.lines
    assert (line["outcome"], line["reason"]) == ("not-run", "leaving")
    assert line["run_ms"] is None


def counted(world: RelayHarness) -> dict[str, tuple[int, int]]:
    world.objectives.roll()
    return {route: windows[0] for route, windows in world.objectives.totals()}


@on_loop
async def test_callers_requests_count_against_the_objective_of_their_route():
    """One request is answered in time, one late, one fails, one is refused.

    A call of a run and a request that its caller gave up are no measure of
    whole requests, and are left out.
    """
    world = RelayHarness(peers=1)
    [link] = world.links
    for number, (status, wait) in enumerate([(200, 0.1), (200, 5.0), (500, 0.1)]):
        world.ask(request_id=f"r{number}")
        world.clock.advance(wait)
        link.reply(number, ANSWERED, status=status)
    world.ask(request_id="left").on_gone()
    world.gate_world.submit("run", deadline=world.clock.now() + 2)
    world.ask("/i/x", request_id="run.0123456789abcdef")
    link.reply(4, ANSWERED, status=200, cut=0.0)
    link.reply(3, ANSWERED, status=200, cut=0.0)
    world.ask(request_id="refused")
    assert counted(world) == {"r": (1, 3)}
    world = RelayHarness()
    world.ask()
    assert counted(world) == {"r": (0, 1)}


@on_loop
async def test_attempts_of_one_caller_share_a_fingerprint():
    """Guards against lines by which nobody sees that a request has come again."""
    world = RelayHarness(peers=1)
    world.ask("/a/x", request_id="r1")
    world.links[0].reply(0, UNKNOWN, Reason.CONNECTION)
    world.ask("/a/x", request_id="r2")
    world.links[0].reply(1, UNKNOWN, Reason.CONNECTION)
    world.ask("/a/y", request_id="r3")
    world.links[0].reply(2, UNKNOWN, Reason.CONNECTION)
    first, again, other = (line["fingerprint"] for line in world.log.lines)
    assert first == again != other


@on_loop
async def test_gate_and_first_node_give_a_request_the_same_fingerprint():
    """Guards against lines of two nodes that can't be put together."""
    world = RelayHarness(peers=1)
    world.ask("/a/x")
    run = world.links[0].runs[0][0]
    world.links[0].reply(0, UNKNOWN, Reason.CONNECTION)
    gate = GateHarness()
    gate.submit(target=run.target, block=run.block, body=run.body)
    gate.pool.connections[0].done(None)
    [at_first_node] = world.log.lines
    [at_gate] = gate.log.lines
    assert at_first_node["fingerprint"] == at_gate["fingerprint"]
