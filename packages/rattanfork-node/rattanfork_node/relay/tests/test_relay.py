"""Tests of the path of a request from its node, without sockets."""

import asyncio
import gc

from rattanfork_core.gate_status import GateReportTable
from rattanfork_core.request import FenceVerdict, Outcome, Reason

from rattanfork_node.http1 import Exchange
from rattanfork_node.peer import Cancel
from rattanfork_node.relay import DrainPolicy, Job
from rattanfork_node.relay.tests.fakes import RelayHarness, on_loop

ANSWERED, NOT_RUN, UNKNOWN = Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


@on_loop
async def test_an_answer_comes_back_as_it_was_given():
    world = RelayHarness(peers=1)
    exchange = world.ask()
    [link] = world.links
    run, _ = link.runs[0]
    assert b"Rattanfork-Caller: s\r\n" in run.block
    assert 900 < run.time_left <= 1000
    link.reply(0, ANSWERED, status=200)
    assert exchange.output == (200, b"", b"body")


@on_loop
async def test_without_a_route_the_answer_is_404_and_without_instances_503():
    world = RelayHarness()
    assert world.ask("/none/").output[0] == 404
    status, block, _ = world.ask().output
    assert status == 503
    assert b"Retry-After: " in block


@on_loop
async def test_what_may_run_once_is_not_sent_again_after_a_lost_link():
    """The link to the guard is lost while a posting is there.

    The guard is asked over another link; it has handed the posting over, so
    nobody can say how it ended, and it is not sent to anybody else.
    """
    world = RelayHarness(peers=2, idempotent=False)
    world.pool.verdicts = [FenceVerdict.HANDED_OVER]
    exchange = world.ask()
    [(link, place)] = world.runs
    link.lose(place)
    await settle()
    assert len(world.runs) == 1
    assert exchange.output[0] == 502


@on_loop
async def test_what_the_guard_has_fenced_is_sent_again():
    """The link to the guard is lost before the posting was handed over.

    The guard says so and refuses it from then on, so another may run it.
    """
    world = RelayHarness(peers=2, idempotent=False)
    world.pool.verdicts = [FenceVerdict.NOT_RUN]
    exchange = world.ask()
    [(link, place)] = world.runs
    link.lose(place)
    await settle()
    assert len(world.pool.fenced) == 1
    other, place = next(r for r in world.runs if r[0] is not link)
    other.reply(place, ANSWERED, status=200)
    assert exchange.output[0] == 200


@on_loop
async def test_an_upstreams_own_failure_is_tried_elsewhere_and_else_handed_on():
    world = RelayHarness(peers=2, most_upstreams=2)
    exchange = world.ask()
    [(first, place)] = world.runs
    failed = Reason.UPSTREAM_FAILED
    first.reply(place, ANSWERED, failed, 500, retry_elsewhere=True)
    assert exchange.output is None
    second, place = next(r for r in world.runs if r[0] is not first)
    assert (second.runs[place][0].arrived, second.runs[place][0].attempt) == (True, 2)
    second.reply(place, ANSWERED, failed, 500, retry_elsewhere=True)
    assert exchange.output == (500, b"", b"body")


@on_loop
async def test_an_upstream_that_fails_postings_gets_fewer_of_them():
    """One of two instances has turned slow and fails postings at their deadline.

    A posting is not sent again, so its caller gets the failure.  It must speak
    against the instance, or half of all postings would go on failing there.
    """
    world = RelayHarness(peers=2, idempotent=False)
    slow = world.links[0]
    sent = {link.peer: 0 for link in world.links}
    for number in range(40):
        exchange = world.ask(request_id=f"r{number}")
        [(link, place)] = [r for r in world.runs if r[1] == sent[r[0].peer]]
        sent[link.peer] += 1
        if link is slow:
            link.reply(place, ANSWERED, Reason.UPSTREAM_FAILED, 504)
            assert exchange.output == (504, b"", b"body")
        else:
            link.reply(place, ANSWERED, status=200)
    assert sent[slow.peer] <= 8


@on_loop
async def test_the_time_of_a_route_ends_a_request_and_its_run():
    world = RelayHarness(peers=1, timeout=0.03)
    exchange = world.ask()
    await asyncio.sleep(0.05)
    assert exchange.output[0] == 504
    assert [type(m) for m in world.links[0].sent] == [Cancel]
    world.links[0].reply(0, ANSWERED, status=200)
    assert exchange.output[0] == 504


@on_loop
async def test_a_caller_that_leaves_ends_its_run():
    world = RelayHarness(peers=1)
    exchange = world.ask()
    exchange.on_gone()
    assert [type(m) for m in world.links[0].sent] == [Cancel]


@on_loop
async def test_a_threshold_heard_refuses_at_the_root_but_not_a_run_begun():
    """The only instance announces that it sheds what is of little importance.

    A caller's request is refused at once and told when to come back.  A call
    of a run at our own upstream has the rank of that run and still passes.
    """
    world = RelayHarness(peers=1)
    world.ask()
    world.links[0].reply(0, ANSWERED, status=200, cut=2.0)
    exchange = world.ask(request_id="r2")
    assert exchange.output[0] == 503
    assert b"Retry-After" in exchange.output[1]
    world.gate_world.submit("run", rank=2.5)
    assert world.ask("/a/x", request_id="run.0123456789abcdef").output is None


@on_loop
async def test_what_a_deeper_service_sheds_is_refused_where_it_comes_in():
    """A service two levels down sheds; no reply of this node's own has said so.

    One answer has told which services lie behind the route, its gates have told the
    fleet what they shed.  The next request would break there after all other work
    was done, so it is refused at once; one of higher importance is not.
    """
    world = RelayHarness(peers=1)
    world.ask()
    world.links[0].reply(0, ANSWERED, status=200, reach=["deep"])
    world.reports.update_own("deep", 1.5, impaired=False)
    exchange = world.ask(request_id="r2")
    assert exchange.output[0] == 503
    assert world.log.lines[-1]["chain"] == {"t": 5.0, "deep": 1.5}
    world.clock.advance(9.0)
    assert world.ask(request_id="r3").output is None


@on_loop
async def test_a_call_goes_to_a_gate_that_does_not_shed_it():
    """One of two gates has told the fleet that it sheds; the other has room."""
    world = RelayHarness(peers=2)
    told = GateReportTable(world.clock, world.links[0].peer)
    told.update_own("t", 1.0, impaired=False)
    world.reports.merge(told.take_fresh())
    for number in range(10):
        world.ask(request_id=f"r{number}")
    assert not world.links[0].runs


@on_loop
async def test_the_services_that_a_run_has_reached_are_told_with_its_answer():
    """An upstream calls a service, whose answer tells of one further down."""
    world = RelayHarness(peers=1)
    run, results = world.gate_world.submit("run")
    world.ask("/i/x", request_id="run.0123456789abcdef")
    world.links[0].reply(0, ANSWERED, status=200, reach=["deep"])
    world.gate_world.answer(0)
    assert results[0].reach == ("deep", "t")


@on_loop
async def test_a_run_that_broke_off_teaches_nothing_of_its_chain():
    world = RelayHarness(peers=1)
    run, results = world.gate_world.submit("run")
    world.ask("/i/x", request_id="run.0123456789abcdef")
    world.links[0].reply(0, ANSWERED, status=200)
    world.gate_world.answer(0, status=500)
    assert results[0].reach == ()


@on_loop
async def test_a_request_that_two_gates_deny_a_repeat_is_given_up():
    """An upstream fails, and the gates of the others have no repeat left.

    The caller gets the upstream's own failure, and no third gate is asked.
    """
    world = RelayHarness(peers=4, most_upstreams=2)
    exchange = world.ask()
    [(first, place)] = world.runs
    failed = Reason.UPSTREAM_FAILED
    first.reply(place, ANSWERED, failed, 500, retry_elsewhere=True)
    asked = {first.peer}
    for _ in range(2):
        assert exchange.output is None
        denying, place = next(r for r in world.runs if r[0].peer not in asked)
        asked.add(denying.peer)
        denying.reply(place, NOT_RUN, Reason.NO_REPEAT, retry_elsewhere=True)
    assert exchange.output == (500, b"", b"body")
    assert len(world.runs) == 3


@on_loop
async def test_a_call_ends_with_the_run_that_made_it():
    """The caller of a run leaves while the run waits for a call of its own.

    Nobody wants the answer of the call either; it is cancelled with the run.
    """
    world = RelayHarness(peers=1)
    job, _ = world.gate_world.submit("run", deadline=world.clock.now() + 0.3)
    exchange = world.ask("/i/x", request_id="run.0123456789abcdef")
    run, _ = world.links[0].runs[0]
    assert run.time_left <= 300
    world.gate.cancel(job)
    assert [type(m) for m in world.links[0].sent] == [Cancel]
    assert exchange.answered


@on_loop
async def test_a_run_that_must_not_be_repeated_keeps_its_calls():
    """The caller of a posting leaves, or its node is lost, while it runs.

    The run goes on, for nobody could tell the state it was cut off in.  It can
    only end well if the calls that it has made are not stopped either.
    """
    world = RelayHarness(peers=1)
    job, _ = world.gate_world.submit("run", idempotent=False)
    exchange = world.ask("/i/x", request_id="run.0123456789abcdef")
    world.gate.cancel(job)
    assert world.links[0].sent == []
    assert not exchange.answered


@on_loop
async def test_a_leaving_node_answers_no_call_in_place_of_an_upstream():
    """A node was told to stop; a run at its upstream is cancelled.

    The run's connection is closed, and the upstream closes those of its calls
    if it takes note.  A call that is still wanted is at work elsewhere, and is
    not broken off by a node on its way out.
    """
    world = RelayHarness(peers=1)
    job, _ = world.gate_world.submit("run")
    exchange = world.ask("/i/x", request_id="run.0123456789abcdef")
    world.gate.leave()
    world.gate.cancel(job)
    assert world.gate_world.pool.connections[0].aborted
    assert not exchange.answered
    exchange.on_gone()
    assert [type(m) for m in world.links[0].sent] == [Cancel]


@on_loop
async def test_a_leaving_node_takes_what_ends_before_it_and_nothing_else():
    """A node was told to stop; a client whose zone has few others goes on.

    Taken, its request would be cut when the node ends.  Refused as not run it
    can go elsewhere.  A call of a run that is still at work is taken.
    """
    world = RelayHarness(peers=1, timeout=1.0)
    end = world.clock.now() + 1.5
    world.relay.drain(DrainPolicy(world.clock, end, 0.0))
    assert world.ask(request_id="r1").output is None
    world.clock.advance(0.6)
    assert world.ask(request_id="r2").output[0] == 503
    world.gate_world.submit("run", deadline=world.clock.now() + 0.5)
    assert world.ask("/i/x", request_id="run.0123456789abcdef").output is None


@on_loop
async def test_a_leaving_node_takes_what_usually_ends_long_before_it():
    """A node was told to stop; its clients have not noticed yet and go on.

    The route's timeout is longer than what is left, but its requests take 50 ms.
    Refused, its clients would come back to the same node in vain.  Later, when
    the node may end at any moment, they are refused.
    """
    world = RelayHarness(peers=1, timeout=5.0)
    world.relay.directory.picker("t").subset[0].latency = 0.05
    now = world.clock.now()
    world.relay.drain(DrainPolicy(world.clock, now + 4.0, now + 2.0))
    assert world.ask(request_id="r1").output is None
    world.relay.directory.picker("t").subset[0].latency = 1.5
    assert world.ask(request_id="r2").output[0] == 503
    world.relay.directory.picker("t").subset[0].latency = 0.05
    world.clock.advance(2.1)
    assert world.ask(request_id="r3").output[0] == 503


@on_loop
async def test_an_instance_that_nobody_reaches_is_not_the_end():
    """No connection can be made to the instance that was picked.

    Nothing was sent, so also what may run once goes to another.
    """
    world = RelayHarness(peers=2, idempotent=False)
    del world.pool.links["p0@b"]
    for _ in range(20):
        world.ask()
        await settle()
    assert len(world.pool.links["p1@b"].runs) == 20


@on_loop
async def test_the_first_rule_that_holds_decides_before_the_route():
    world = RelayHarness(peers=1)
    world.accept_rules(
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
    status, block, _ = world.ask().output
    assert status == 503
    assert b"Retry-After: 7.00" in block
    assert world.runs == []


@on_loop
async def test_a_rule_changes_importance_time_and_attempts():
    world = RelayHarness(peers=2, timeout=5.0)
    world.accept_rules(
        """
rules:
  - name: first
    when: {operation: [r]}
    then: {importance: critical, deadline: 0.5, attempts: 0, idempotent: false}
"""
    )
    exchange = world.ask()
    [(link, place)] = world.runs
    run = link.runs[place][0]
    assert run.rank < 1
    assert run.time_left <= 500
    assert not run.idempotent
    failed = Reason.UPSTREAM_FAILED
    link.reply(place, ANSWERED, failed, 500, retry_elsewhere=True)
    assert exchange.output[0] == 500


@on_loop
async def test_a_call_of_a_run_is_not_ruled_again():
    """A rule turns callers away while a run that was let in makes its calls."""
    world = RelayHarness(peers=1)
    world.gate_world.submit("run")
    world.accept_rules("rules: [{name: all, then: {refuse: {retry_after: 1}}}]")
    assert world.ask(request_id="r1").output[0] == 503
    assert world.ask("/i/x", request_id="run.0123456789abcdef").output is None


@on_loop
async def test_without_knowing_whether_there_are_rules_nothing_is_taken():
    """A fresh node can't reach the store and no peer has told it the rules.

    Serving by routes alone would bring back what a rule had turned away.
    """
    world = RelayHarness(peers=1)
    world.relay._rules = type(world.rules)()
    assert world.ask().output[0] == 503


@on_loop
async def test_a_data_centre_that_a_rule_names_is_the_only_one():
    """A rule keeps a route in one data centre, and all its instances shed.

    The request is not sent to another data centre for that.
    """
    world = RelayHarness(peers=2)
    world.accept_rules("rules: [{name: home, then: {data_centre: dc2}}]")
    exchange = world.ask()
    assert world.runs == []
    assert exchange.output[0] == 503


@on_loop
async def test_a_request_that_was_answered_is_let_go_at_once():
    """Thousands of requests a second are answered, here and by peers.

    Each that is left in a cycle of references keeps its bodies until the next
    collection, so the memory of a node would grow with its load.
    """
    world = RelayHarness(peers=1)
    gc.collect()
    gc.disable()
    try:
        world.ask()
        world.links[0].reply(0, ANSWERED, status=200)
        world.links[0].runs.clear()
        await settle()
        left = [o for o in gc.get_objects() if isinstance(o, Exchange | Job)]
    finally:
        gc.enable()
    assert left == []


@on_loop
async def test_a_refusal_close_to_the_deadline_stays_a_refusal():
    """A posting waited at a guard until it could no longer end in time.

    The guard says that it did not run.  Sent elsewhere with 20 ms left, where
    runs take 100 ms, it would end as one that may have run, and its caller could
    not try it again.
    """
    world = RelayHarness(peers=2, idempotent=False, timeout=1.0)
    exchange = world.ask()
    [(link, place)] = world.runs
    for state in world.relay.directory.picker("t").subset:
        state.latency = 0.1
    world.clock.advance(0.97)
    link.reply(place, NOT_RUN, Reason.TOO_LATE, retry_elsewhere=True)
    assert exchange.output[0] == 503
    assert len(world.runs) == 1


@on_loop
async def test_calls_of_a_run_go_first_once_others_of_it_have_succeeded():
    """Guards against a run that loses all its calls with the last one."""
    world = RelayHarness(peers=1)
    job, _ = world.gate_world.submit("r1", rank=2.55)
    for number in range(3):
        world.ask("/i/x", request_id=f"r1.{number}")
        world.links[0].reply(number, ANSWERED, status=200)
    ranks = [run.rank for run, _ in world.links[0].runs]
    assert ranks == sorted(ranks, reverse=True)
    assert ranks[0] == 2.55
    assert all(rank >= 2.4 for rank in ranks)
    assert job.succeeded_calls == 3
