"""Tests of routing, forwarding and retries at the entry node, without sockets."""

import asyncio
import gc

from rattanfork_core.gate_status import GateReportTable
from rattanfork_core.request import FenceVerdict, Outcome, Reason

from rattanfork_node.http1 import Exchange
from rattanfork_node.peer import Cancel, LateReply, RunReply
from rattanfork_node.relay import DrainPolicy, Job
from rattanfork_node.relay.tests.fakes import RelayHarness, on_loop

ANSWERED, NOT_RUN, UNKNOWN = Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


@on_loop
async def test_upstream_response_is_forwarded_unchanged():
    harness = RelayHarness(peers=1)
    exchange = harness.send_request()
    [link] = harness.links
    run, _ = link.runs[0]
    assert b"Rattanfork-Caller: s\r\n" in run.block
    assert 900 < run.time_left_ms <= 1000
    link.reply(0, ANSWERED, status=200)
    assert exchange.output == (200, b"", b"body")


@on_loop
async def test_unknown_route_gets_404_and_service_without_instances_503():
    harness = RelayHarness()
    assert harness.send_request("/none/").output[0] == 404
    status, block, _ = harness.send_request().output
    assert status == 503
    assert b"Retry-After: " in block


@on_loop
async def test_non_idempotent_request_is_not_retried_after_link_loss():
    """The link is lost after the gate has handed the request to its upstream.

    The gate reports so in reply to the fence; the outcome of the request is unknown.
    """
    harness = RelayHarness(peers=2, idempotent=False)
    harness.pool.verdicts = [FenceVerdict.HANDED_OVER]
    exchange = harness.send_request()
    [(link, index)] = harness.runs
    link.lose(index)
    await settle()
    assert len(harness.runs) == 1
    assert exchange.output[0] == 502


@on_loop
async def test_fenced_request_is_retried_after_link_loss():
    """The link is lost before the gate has handed the request to its upstream.

    The fenced gate will not run the request any more, so another instance may.
    """
    harness = RelayHarness(peers=2, idempotent=False)
    harness.pool.verdicts = [FenceVerdict.NOT_RUN]
    exchange = harness.send_request()
    [(link, index)] = harness.runs
    link.lose(index)
    await settle()
    assert len(harness.pool.fenced) == 1
    other, index = next(r for r in harness.runs if r[0] is not link)
    other.reply(index, ANSWERED, status=200)
    assert exchange.output[0] == 200


async def lose_run_of_silent_gate() -> tuple[RelayHarness, Exchange, asyncio.Future]:
    """Return a request whose gate answers neither the run nor the fence for a while."""
    harness = RelayHarness(peers=1, idempotent=False)
    harness.pool.verdicts = [None]
    exchange = harness.send_request()
    [(link, index)] = harness.runs
    link.is_silent = True
    link.lose(index)
    await settle()
    [late] = link.kept.values()
    return harness, exchange, late


@on_loop
async def test_request_is_answered_by_the_late_reply_of_a_gate_that_stood_still():
    """Guards against 502 for a run at which its upstream is at work."""
    harness, exchange, late = await lose_run_of_silent_gate()
    assert exchange.output is None
    run, _ = harness.links[0].runs[0]
    fields = (run.number, ANSWERED, 0, 200, b"", b"late", False, 5.0, 1, [])
    late.set_result(LateReply(RunReply(*fields), None))
    await settle()
    assert exchange.output == (200, b"", b"late")


@on_loop
async def test_request_of_a_gate_that_stays_silent_is_answered_502():
    _, exchange, late = await lose_run_of_silent_gate()
    late.set_result(None)
    await settle()
    assert exchange.output[0] == 502


@on_loop
async def test_upstream_failure_is_retried_once_and_then_returned():
    harness = RelayHarness(peers=2, most_upstreams=2)
    exchange = harness.send_request()
    [(first, index)] = harness.runs
    failed = Reason.UPSTREAM_FAILED
    first.reply(index, ANSWERED, failed, 500, retry_elsewhere=True)
    assert exchange.output is None
    second, index = next(r for r in harness.runs if r[0] is not first)
    assert (second.runs[index][0].may_have_arrived, second.runs[index][0].attempt) == (
        True,
        2,
    )
    second.reply(index, ANSWERED, failed, 500, retry_elsewhere=True)
    assert exchange.output == (500, b"", b"body")


@on_loop
async def test_instance_that_fails_posts_gets_less_traffic():
    """One of two instances answers every non-idempotent request with 504.

    The requests are not retried, but the failures must count in load balancing, or
    half of all such requests would keep failing.
    """
    harness = RelayHarness(peers=2, idempotent=False)
    slow = harness.links[0]
    sent = {link.peer: 0 for link in harness.links}
    for number in range(40):
        exchange = harness.send_request(request_id=f"r{number}")
        [(link, index)] = [r for r in harness.runs if r[1] == sent[r[0].peer]]
        sent[link.peer] += 1
        if link is slow:
            link.reply(index, ANSWERED, Reason.UPSTREAM_FAILED, 504)
            assert exchange.output == (504, b"", b"body")
        else:
            link.reply(index, ANSWERED, status=200)
    assert sent[slow.peer] <= 8


@on_loop
async def test_route_timeout_ends_request_and_cancels_run():
    harness = RelayHarness(peers=1, timeout=0.03)
    exchange = harness.send_request()
    await asyncio.sleep(0.05)
    assert exchange.output[0] == 504
    assert [type(m) for m in harness.links[0].sent] == [Cancel]
    harness.links[0].reply(0, ANSWERED, status=200)
    assert exchange.output[0] == 504


@on_loop
async def test_caller_disconnect_cancels_run():
    harness = RelayHarness(peers=1)
    exchange = harness.send_request()
    exchange.on_disconnect()
    assert [type(m) for m in harness.links[0].sent] == [Cancel]


@on_loop
async def test_announced_threshold_refuses_callers_but_not_calls_of_a_run():
    """The only instance announces that it sheds requests of low importance.

    A call of a run at the node's own upstream has the same rank and still passes.
    """
    harness = RelayHarness(peers=1)
    harness.send_request()
    harness.links[0].reply(0, ANSWERED, status=200, cut=2.0)
    exchange = harness.send_request(request_id="r2")
    assert exchange.output[0] == 503
    assert b"Retry-After" in exchange.output[1]
    harness.gate_harness.submit("run", rank=2.5)
    assert (
        harness.send_request("/a/x", request_id="run.0123456789abcdef").output is None
    )


@on_loop
async def test_request_shed_by_downstream_service_is_refused_at_entry():
    """A service behind the called one sheds, as its gates have reported by gossip.

    A previous response named the services behind the route.  Without the early
    refusal, requests would fail there after all other work was done.
    """
    harness = RelayHarness(peers=1)
    harness.send_request()
    harness.links[0].reply(0, ANSWERED, status=200, services_reached=["deep"])
    harness.reports.update_own("deep", 1.5, impaired=False)
    exchange = harness.send_request(request_id="r2")
    assert exchange.output[0] == 503
    assert harness.log.lines[-1]["chain"] == {"t": 5.0, "deep": 1.5}
    harness.clock.advance(9.0)
    assert harness.send_request(request_id="r3").output is None


@on_loop
async def test_requests_are_refused_while_all_fail_at_a_downstream_service():
    """Guards against work for requests of which none completes.

    A call of a run at the node's own upstream still passes: its parent has begun.
    """
    harness = RelayHarness(peers=1)
    for number in range(40):
        exchange = harness.send_request(request_id=f"r{number}")
        if exchange.output is None:
            harness.links[0].reply(-1, ANSWERED, status=500)
    exchange = harness.send_request(request_id="refused")
    assert exchange.output[0] == 503
    assert b"Retry-After" in exchange.output[1]
    assert harness.log.lines[-1]["reason"] == "circuit-open"
    harness.gate_harness.submit("run", rank=2.5)
    assert (
        harness.send_request("/a/x", request_id="run.0123456789abcdef").output is None
    )


@on_loop
async def test_request_avoids_instance_whose_gate_sheds_it():
    """One of two gates has reported by gossip that it sheds."""
    harness = RelayHarness(peers=2)
    peer_reports = GateReportTable(harness.clock, harness.links[0].peer)
    peer_reports.update_own("t", 1.0, impaired=False)
    harness.reports.merge(peer_reports.take_fresh())
    for number in range(10):
        harness.send_request(request_id=f"r{number}")
    assert not harness.links[0].runs


@on_loop
async def test_result_of_a_run_names_the_services_behind_it():
    """The upstream calls a service whose response names another one behind it."""
    harness = RelayHarness(peers=1)
    run, results = harness.gate_harness.submit("run")
    harness.send_request("/i/x", request_id="run.0123456789abcdef")
    harness.links[0].reply(0, ANSWERED, status=200, services_reached=["deep"])
    harness.gate_harness.answer(0)
    assert results[0].services_reached == ("deep", "t")


@on_loop
async def test_failed_run_does_not_change_learned_dependencies():
    harness = RelayHarness(peers=1)
    run, results = harness.gate_harness.submit("run")
    harness.send_request("/i/x", request_id="run.0123456789abcdef")
    harness.links[0].reply(0, ANSWERED, status=200)
    harness.gate_harness.answer(0, status=500)
    assert results[0].services_reached == ()


@on_loop
async def test_request_is_given_up_after_two_denied_retries():
    """An upstream fails, and two other gates have no retry budget left.

    The caller gets the upstream's failure, and no further retry is sent.
    """
    harness = RelayHarness(peers=4, most_upstreams=2)
    exchange = harness.send_request()
    [(first, index)] = harness.runs
    failed = Reason.UPSTREAM_FAILED
    first.reply(index, ANSWERED, failed, 500, retry_elsewhere=True)
    tried = {first.peer}
    for _ in range(2):
        assert exchange.output is None
        denying, index = next(r for r in harness.runs if r[0].peer not in tried)
        tried.add(denying.peer)
        denying.reply(index, NOT_RUN, Reason.NO_REPEAT, retry_elsewhere=True)
    assert exchange.output == (500, b"", b"body")
    assert len(harness.runs) == 3


@on_loop
async def test_cancelling_a_run_cancels_its_calls():
    """A run is cancelled while it waits for a call of its own."""
    harness = RelayHarness(peers=1)
    job, _ = harness.gate_harness.submit("run", deadline=harness.clock.now() + 0.3)
    exchange = harness.send_request("/i/x", request_id="run.0123456789abcdef")
    run, _ = harness.links[0].runs[0]
    assert run.time_left_ms <= 300
    harness.gate.cancel(job)
    assert [type(m) for m in harness.links[0].sent] == [Cancel]
    assert exchange.answered


@on_loop
async def test_cancelling_a_non_idempotent_run_keeps_its_calls():
    """A run that is not idempotent continues after its caller has disconnected.

    It can succeed only if its calls continue too.
    """
    harness = RelayHarness(peers=1)
    job, _ = harness.gate_harness.submit("run", idempotent=False)
    exchange = harness.send_request("/i/x", request_id="run.0123456789abcdef")
    harness.gate.cancel(job)
    assert harness.links[0].sent == []
    assert not exchange.answered


@on_loop
async def test_draining_node_does_not_fail_calls_of_cancelled_runs():
    """A run at the upstream of a draining node is cancelled.

    The node closes the connection of the run but not those of its calls: an upstream
    that still waits for a call must not get a failure caused by the restart.
    """
    harness = RelayHarness(peers=1)
    job, _ = harness.gate_harness.submit("run")
    exchange = harness.send_request("/i/x", request_id="run.0123456789abcdef")
    harness.gate.leave()
    harness.gate.cancel(job)
    assert harness.gate_harness.pool.connections[0].aborted
    assert not exchange.answered
    exchange.on_disconnect()
    assert [type(m) for m in harness.links[0].sent] == [Cancel]


@on_loop
async def test_draining_node_accepts_only_requests_that_end_in_time():
    """A client keeps sending to a draining node.

    A request whose timeout exceeds the time left is refused as not run, so that the
    client can retry elsewhere.  A call of a run in progress is accepted.
    """
    harness = RelayHarness(peers=1, timeout=1.0)
    end = harness.clock.now() + 1.5
    harness.relay.drain(DrainPolicy(harness.clock, end, 0.0))
    assert harness.send_request(request_id="r1").output is None
    harness.clock.advance(0.6)
    assert harness.send_request(request_id="r2").output[0] == 503
    harness.gate_harness.submit("run", deadline=harness.clock.now() + 0.5)
    assert (
        harness.send_request("/i/x", request_id="run.0123456789abcdef").output is None
    )


@on_loop
async def test_draining_node_accepts_fast_requests_with_long_timeouts():
    """The timeout of a route exceeds the time left, but its requests take 50 ms.

    Clients that have not noticed the drain would retry a refusal at the same node.
    Slow requests, and all requests after ``serves_until``, are refused.
    """
    harness = RelayHarness(peers=1, timeout=5.0)
    harness.relay.directory.picker("t").subset[0].latency = 0.05
    now = harness.clock.now()
    harness.relay.drain(DrainPolicy(harness.clock, now + 4.0, now + 2.0))
    assert harness.send_request(request_id="r1").output is None
    harness.relay.directory.picker("t").subset[0].latency = 1.5
    assert harness.send_request(request_id="r2").output[0] == 503
    harness.relay.directory.picker("t").subset[0].latency = 0.05
    harness.clock.advance(2.1)
    assert harness.send_request(request_id="r3").output[0] == 503


@on_loop
async def test_unreachable_instance_is_replaced_by_another():
    """No link to the picked instance can be opened.

    Nothing was sent, so a request that is not idempotent may be retried too.
    """
    harness = RelayHarness(peers=2, idempotent=False)
    del harness.pool.links["p0@b"]
    for _ in range(20):
        harness.send_request()
        await settle()
    assert len(harness.pool.links["p1@b"].runs) == 20


@on_loop
async def test_first_matching_rule_overrides_the_route():
    harness = RelayHarness(peers=1)
    harness.accept_rules(
        """
rules:
  - name: keep
    when: {service: [t], caller: [other]}
    then: {importance: critical}
  - name: turn-away
    when: {service: [t]}
    then: {refuse: {retry_after: 7}}
  - name: late
    when: {service: [t]}
    then: {importance: high}
"""
    )
    status, block, _ = harness.send_request().output
    assert status == 503
    assert b"Retry-After: 7.00" in block
    assert harness.runs == []


@on_loop
async def test_rule_sets_importance_deadline_and_attempts():
    harness = RelayHarness(peers=2, timeout=5.0)
    harness.accept_rules(
        """
rules:
  - name: first
    when: {operation: [r]}
    then: {importance: critical, deadline: 0.5, attempts: 0, idempotent: false}
"""
    )
    exchange = harness.send_request()
    [(link, index)] = harness.runs
    run = link.runs[index][0]
    assert run.rank < 1
    assert run.time_left_ms <= 500
    assert not run.idempotent
    failed = Reason.UPSTREAM_FAILED
    link.reply(index, ANSWERED, failed, 500, retry_elsewhere=True)
    assert exchange.output[0] == 500


@on_loop
async def test_rules_do_not_apply_to_calls_of_a_run():
    """A rule that refuses all requests comes into force during a run."""
    harness = RelayHarness(peers=1)
    harness.gate_harness.submit("run")
    harness.accept_rules("rules: [{name: all, then: {refuse: {retry_after: 1}}}]")
    assert harness.send_request(request_id="r1").output[0] == 503
    assert (
        harness.send_request("/i/x", request_id="run.0123456789abcdef").output is None
    )


@on_loop
async def test_requests_are_refused_until_rules_are_known():
    """A new node has received the rules neither from the store nor from a peer.

    It would otherwise accept requests that a rule refuses.
    """
    harness = RelayHarness(peers=1)
    harness.relay._rules = type(harness.rules)()
    assert harness.send_request().output[0] == 503


@on_loop
async def test_rule_restricts_requests_to_its_data_centre():
    """A rule names a data centre without instances of the service."""
    harness = RelayHarness(peers=2)
    harness.accept_rules("rules: [{name: home, then: {data_centre: dc2}}]")
    exchange = harness.send_request()
    assert harness.runs == []
    assert exchange.output[0] == 503


@on_loop
async def test_answered_request_leaves_no_reference_cycle():
    """Guards against memory that grows with the request rate.

    A request in a reference cycle keeps its bodies until the next collection.
    """
    harness = RelayHarness(peers=1)
    gc.collect()
    gc.disable()
    try:
        harness.send_request()
        harness.links[0].reply(0, ANSWERED, status=200)
        harness.links[0].runs.clear()
        await settle()
        left = [o for o in gc.get_objects() if isinstance(o, Exchange | Job)]
    finally:
        gc.enable()
    assert left == []


@on_loop
async def test_request_answered_after_a_retry_leaves_no_reference_cycle():
    """Guards against an answer that bypasses the state machine of a retried request.

    Its callables would refer to the request until the next collection.
    """
    harness = RelayHarness(peers=2)
    gc.collect()
    gc.disable()
    try:
        harness.send_request()
        [(link, index)] = harness.runs
        link.reply(index, NOT_RUN, Reason.UPSTREAM_DOWN, retry_elsewhere=True)
        [other] = [each for each in harness.links if each is not link]
        other.reply(0, ANSWERED, status=200)
        link.runs.clear()
        other.runs.clear()
        await settle()
        left = [o for o in gc.get_objects() if isinstance(o, Exchange | Job)]
    finally:
        gc.enable()
    assert left == []


@on_loop
async def test_events_after_the_answer_do_not_finish_a_request_again():
    """Guards against a second result, which would count the request twice.

    The cancellation of a run may reach a call of it that has just been answered.
    """
    harness = RelayHarness(peers=2)
    exchange = harness.send_request()
    on_disconnect, on_give_up = exchange.on_disconnect, exchange.on_give_up
    [(link, index)] = harness.runs
    link.reply(index, ANSWERED, status=200)
    sent = list(link.sent)
    on_disconnect()
    on_give_up()
    link.lose(index)
    await settle()
    assert exchange.output == (200, b"", b"body")
    assert sum(harness.counters.requests.values()) == 1
    assert len(harness.runs) == 1
    assert link.sent == sent


@on_loop
async def test_refusal_close_to_the_deadline_is_not_retried():
    """A gate reports "not run" when 20 ms are left, while runs take 100 ms.

    A retry would time out with an unknown outcome, and the caller could no longer
    retry a request that is not idempotent.
    """
    harness = RelayHarness(peers=2, idempotent=False, timeout=1.0)
    exchange = harness.send_request()
    [(link, index)] = harness.runs
    for state in harness.relay.directory.picker("t").subset:
        state.latency = 0.1
    harness.clock.advance(0.97)
    link.reply(index, NOT_RUN, Reason.TOO_LATE, retry_elsewhere=True)
    assert exchange.output[0] == 503
    assert len(harness.runs) == 1


@on_loop
async def test_calls_rank_higher_after_earlier_calls_succeeded():
    """Guards against shedding the last call of a run after its others succeeded."""
    harness = RelayHarness(peers=1)
    job, _ = harness.gate_harness.submit("r1", rank=2.55)
    for number in range(3):
        harness.send_request("/i/x", request_id=f"r1.{number}")
        harness.links[0].reply(number, ANSWERED, status=200)
    ranks = [run.rank for run, _ in harness.links[0].runs]
    assert ranks == sorted(ranks, reverse=True)
    assert ranks[0] == 2.55
    assert all(rank >= 2.4 for rank in ranks)
    assert job.succeeded_calls == 3
