"""Tests of the request log and of objective counts."""

import asyncio

from rattanfork_core.request import FenceVerdict, Outcome, Reason

from rattanfork_node.relay.tests.fakes import GateHarness, RelayHarness, on_loop

ANSWERED, NOT_RUN, UNKNOWN = Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN


@on_loop
async def test_refusal_line_has_thresholds_with_age():
    """The entry node refuses a request, as the only instance announced to shed it.

    The line holds the threshold, its age and the version of the configuration.
    """
    harness = RelayHarness(peers=1)
    harness.send_request()
    harness.links[0].reply(0, ANSWERED, status=200, cut=2.0)
    harness.clock.advance(0.125)
    harness.send_request(request_id="r2")
    line = harness.log.lines[-1]
    assert (line["kind"], line["id"], line["reason"]) == ("request", "r2", "shed-early")
    assert [*line["thresholds"].values()] == [(2.0, 0.125)]
    assert line["configuration"] == 1
    assert line["status"] == 503


@on_loop
async def test_request_line_lists_attempts_in_order():
    """The first instance fails, the second answers."""
    harness = RelayHarness(peers=2, most_upstreams=2)
    harness.send_request()
    [(first, index)] = harness.runs
    harness.clock.advance(0.02)
    failed = Reason.UPSTREAM_FAILED
    first.reply(index, ANSWERED, failed, 500, retry_elsewhere=True)
    second, index = next(r for r in harness.runs if r[0] is not first)
    second.reply(index, ANSWERED, status=200)
    [line] = harness.log.lines
    assert [(t["to"], t["reason"], t["status"]) for t in line["tries"]] == [
        (first.peer, "upstream-failed", 500),
        (second.peer, "none", 200),
    ]
    assert line["tries"][0]["ms"] == 20.0
    assert line["status"] == 200


@on_loop
async def test_request_line_reports_connection_loss():
    """The link is lost after a non-idempotent request was handed over."""
    harness = RelayHarness(peers=1, idempotent=False)
    harness.pool.verdicts = [FenceVerdict.HANDED_OVER]
    harness.send_request()
    [(link, index)] = harness.runs
    link.lose(index)
    for _ in range(5):
        await asyncio.sleep(0)
    [line] = harness.log.lines
    assert [t["reason"] for t in line["tries"]] == ["connection"]
    assert (line["outcome"], line["reason"]) == ("unknown", "connection")


def test_run_line_has_queue_time_and_gate_state():
    """One slot is taken; a second request waits for it."""
    harness = GateHarness()
    harness.submit("first")
    harness.submit("second")
    harness.clock.advance(0.05)
    harness.answer(0)
    harness.clock.advance(0.02)
    harness.answer(1)
    line = harness.log.lines[-1]
    assert (line["kind"], line["id"]) == ("run", "second")
    assert (line["queued_ms"], line["run_ms"]) == (50.0, 20.0)
    assert (line["slots"], line["upstream"]) == (1, "u1")


def test_gate_refusal_is_logged_with_its_reason():
    harness = GateHarness()
    harness.gate.detach()
    harness.submit("late")
    [line] = harness.log.lines
    assert (line["outcome"], line["reason"]) == ("not-run", "leaving")
    assert line["run_ms"] is None


def objective_counts(harness: RelayHarness) -> dict[str, tuple[int, int]]:
    harness.objectives.flush()
    return {route: windows[0] for route, windows in harness.objectives.totals()}


@on_loop
async def test_only_finished_caller_requests_count_for_objectives():
    """One request is answered in time, one late, one fails, one is refused.

    Calls of a run and requests cancelled by their callers do not count.
    """
    harness = RelayHarness(peers=1)
    [link] = harness.links
    for number, (status, wait) in enumerate([(200, 0.1), (200, 5.0), (500, 0.1)]):
        harness.send_request(request_id=f"r{number}")
        harness.clock.advance(wait)
        link.reply(number, ANSWERED, status=status)
    harness.send_request(request_id="left").on_disconnect()
    harness.gate_harness.submit("run", deadline=harness.clock.now() + 2)
    harness.send_request("/i/x", request_id="run.0123456789abcdef")
    link.reply(4, ANSWERED, status=200, cut=0.0)
    link.reply(3, ANSWERED, status=200, cut=0.0)
    harness.send_request(request_id="refused")
    assert objective_counts(harness) == {"r": (1, 3)}
    harness = RelayHarness()
    harness.send_request()
    assert objective_counts(harness) == {"r": (0, 1)}


@on_loop
async def test_retries_by_a_caller_share_a_fingerprint():
    """Guards against log lines that don't show that a request was retried."""
    harness = RelayHarness(peers=1)
    harness.send_request("/a/x", request_id="r1")
    harness.links[0].reply(0, UNKNOWN, Reason.CONNECTION)
    harness.send_request("/a/x", request_id="r2")
    harness.links[0].reply(1, UNKNOWN, Reason.CONNECTION)
    harness.send_request("/a/y", request_id="r3")
    harness.links[0].reply(2, UNKNOWN, Reason.CONNECTION)
    first, again, other = (line["fingerprint"] for line in harness.log.lines)
    assert first == again != other


@on_loop
async def test_gate_and_entry_node_log_the_same_fingerprint():
    """Guards against lines of two nodes that can't be correlated."""
    harness = RelayHarness(peers=1)
    harness.send_request("/a/x")
    run = harness.links[0].runs[0][0]
    harness.links[0].reply(0, UNKNOWN, Reason.CONNECTION)
    gate = GateHarness()
    gate.submit(target=run.target, block=run.block, body=run.body)
    gate.pool.connections[0].done(None)
    [at_first_node] = harness.log.lines
    [at_gate] = gate.log.lines
    assert at_first_node["fingerprint"] == at_gate["fingerprint"]


@on_loop
async def test_run_line_has_the_idle_time_of_the_connection():
    """A run that failed at once on a connection idle for long points at the connection.

    A request that reached no connection has no such field.
    """
    harness = GateHarness(slots=1)
    harness.submit("ran")
    harness.pool.connections[0].idle_before = 0.25
    harness.submit("refused", boot="other")
    harness.answer(0)
    refused, ran = harness.log.lines
    assert (ran["id"], ran["connection_idle_ms"]) == ("ran", 250.0)
    assert "connection_idle_ms" not in refused


@on_loop
async def test_run_line_of_refusal_has_the_response_it_was_derived_from():
    """Guards against refusals whose lines don't show which response was the proof.

    A lost connection has no response.
    """
    harness = GateHarness(slots=2)
    harness.submit("shed")
    harness.submit("lost")
    harness.answer(0, 503, rattanfork_not_run=b"1")
    harness.pool.connections[1].done(None)
    shed, lost = harness.log.lines
    assert (shed["status"], shed["response_status"]) == (0, 503)
    assert (shed["connection_uses"], shed["response_identified"]) == (1, True)
    assert "response_status" not in lost


def test_run_line_of_retry_has_budget_before_the_decision():
    """A retry is granted, a second one denied, and a call of a retried run charged.

    The lines show from which state of the retry budget each was decided, so that a
    bound that was exceeded can be traced to the gates that granted too much.
    """
    harness = GateHarness(slots=9)
    harness.clock.advance(4)
    harness.grants.set_gate_count(8)
    for number, fields in enumerate(({"may_have_arrived": True}, {"repeated": True})):
        harness.submit(f"r{number}", **fields)
        harness.answer(number)
    harness.submit("r2", may_have_arrived=True)
    lines = {line["id"]: line["retry"] for line in harness.log.lines}
    assert [lines[f"r{n}"]["charge"] for n in range(3)] == [
        "granted",
        "inherited",
        "denied",
    ]
    assert [lines[f"r{n}"]["spent"] for n in range(3)] == [0, 1, 2]
    assert lines["r0"] == {
        "charge": "granted",
        "age_s": 16.0,
        "gates": 8,
        "spent": 0,
        "allowed": 2.3,
    }
