"""Tests of the gate in front of an upstream, without sockets."""

import pytest
from rattanfork_core.request import Outcome, Reason

from rattanfork_node.relay.tests.fakes import FakeConnection, on_loop
from rattanfork_node.relay.tests.fakes import GateHarness as World


def test_a_request_names_the_incarnation_and_the_time_left():
    world = World()
    world.submit()
    sent = world.pool.connections[0].sent
    assert b"Rattanfork-Expect-Upstream: u1\r\n" in sent
    assert b"Rattanfork-Timeout-Ms: 2000\r\n" in sent


def test_the_most_important_waiter_goes_first():
    world = World()
    world.submit("first")
    world.submit("low", rank=3.5)
    world.submit("high", rank=0.5)
    world.answer(0)
    assert b"GET /a/" in world.pool.connections[1].sent
    assert world.gate.parent_of(b"high.1") is not None
    assert world.gate.parent_of(b"low.1") is None


def test_an_upstream_that_refuses_did_not_run_the_request():
    world = World()
    _, results = world.submit()
    world.answer(0, 503, rattanfork_not_run=b"1")
    assert results[0].outcome is Outcome.NOT_RUN
    assert results[0].retry_elsewhere


def test_another_incarnation_at_the_address_is_noticed():
    """An upstream is gone and another listens at its address.

    It answers that it was not meant.  The request goes elsewhere, and the
    gate is told to find out who is there.
    """
    world = World()
    _, results = world.submit()
    world.answer(0, 421)
    assert results[0].outcome is Outcome.NOT_RUN
    assert world.gate.misdirected


@pytest.mark.parametrize("idempotent", [True, False])
@on_loop
async def test_after_a_lost_connection_nobody_knows_whether_it_ran(idempotent):
    world = World()
    _, results = world.submit(idempotent=idempotent)
    world.pool.connections[0].done(None)
    assert results[0].outcome is Outcome.UNKNOWN


def test_without_a_connection_nothing_ran():
    world = World()
    world.pool.broken = True
    _, results = world.submit()
    assert results[0].outcome is Outcome.NOT_RUN
    assert world.gate.outstanding == 0


def test_a_caller_that_leaves_stops_what_may_be_repeated():
    world = World()
    job, _ = world.submit()
    world.gate.cancel(job)
    assert world.pool.connections[0].aborted


def test_a_caller_that_leaves_does_not_cut_a_run_that_must_not_be_repeated():
    """A caller leaves while its posting is at work.

    Cut off half-way nobody could tell what the posting has done; it ends by
    itself, and its slot is free only then.
    """
    world = World()
    job, _ = world.submit(idempotent=False)
    world.gate.cancel(job)
    assert not world.pool.connections[0].aborted
    assert world.gate.outstanding == 1
    world.answer(0)
    assert world.gate.outstanding == 0


def test_what_is_cancelled_while_it_gets_a_connection_is_not_sent():
    world = World()
    world.pool.holding = True
    job, results = world.submit(idempotent=False)
    world.gate.cancel(job)
    connection = FakeConnection()
    world.pool.held[0](connection)
    assert connection.sent == b""
    assert [r.outcome for r in results] == [Outcome.NOT_RUN]


def test_what_is_fenced_while_it_gets_a_connection_is_not_sent():
    """The sender loses its link and asks the gate to refuse what it sent.

    It is told "not run", so nothing of it may be handed over afterwards.
    """
    world = World()
    world.pool.holding = True
    _, results = world.submit(may_hand_over=lambda: False)
    connection = FakeConnection()
    world.pool.held[0](connection)
    assert connection.sent == b""
    assert results[0].outcome is Outcome.NOT_RUN


def test_an_upstream_that_leaves_gets_nothing_new_and_ends_what_it_has():
    """An upstream says that it is leaving while one request runs and one waits.

    What waits is refused as not run, so that it can go elsewhere at once;
    what runs is answered.
    """
    world = World()
    _, running = world.submit("r1")
    _, waiting = world.submit("r2")
    world.gate.detach()
    assert waiting[0].reason is Reason.LEAVING
    assert waiting[0].retry_elsewhere
    _, late = world.submit("r3")
    assert late[0].reason is Reason.LEAVING
    world.answer(0)
    assert running[0].outcome is Outcome.ANSWERED


def test_a_request_for_an_earlier_incarnation_of_the_gate_is_refused():
    world = World()
    _, results = world.submit(boot="b0")
    assert results[0].reason is Reason.STALE_INSTANCE


def test_the_form_of_an_id_does_not_make_a_parent():
    world = World()
    world.submit("r1")
    assert world.gate.parent_of(b"r2.0123456789abcdef") is None
    assert world.gate.parent_of(b"r1") is None
    assert world.gate.parent_of(b"r1.0123456789abcdef") is not None
    world.answer(0)
    assert world.gate.parent_of(b"r1.0123456789abcdef") is None


def test_a_failure_of_the_upstream_itself_may_be_tried_elsewhere():
    world = World()
    _, results = world.submit()
    world.answer(0, 500)
    assert results[0].outcome is Outcome.ANSWERED
    assert results[0].retry_elsewhere


def test_a_failure_behind_a_failed_call_is_not_tried_elsewhere():
    """A run fails since a call to a deeper service failed.

    Another instance would make the same call: the retry would multiply on
    the way down just where there is no room.
    """
    world = World()
    job, results = world.submit()
    job.failed_calls = 1
    world.answer(0, 500)
    assert not results[0].retry_elsewhere


def test_an_upstreams_own_failure_of_a_posting_speaks_against_it():
    """An upstream has turned slow and answers a posting 504 at its deadline.

    The posting is not tried elsewhere, for it has run.  The sender must learn
    all the same that it was the upstream that failed.
    """
    world = World()
    _, results = world.submit(idempotent=False)
    world.answer(0, 504)
    assert results[0].outcome is Outcome.ANSWERED
    assert results[0].reason is Reason.UPSTREAM_FAILED
    assert not results[0].retry_elsewhere


def repeat(world: World, number: int):
    """Send a request that has arrived at another upstream before."""
    return world.submit(f"r{number}", arrived=True, attempt=2)[1]


def test_a_gate_denies_repeats_beyond_its_part_of_the_bound():
    """Every request fails elsewhere and is sent here again.

    The upstream is handed as many as the gate grants; the others are told at once
    that they did not run here.
    """
    world = World(slots=500)
    allowed = int(world.grants.allowed)
    results = [repeat(world, number) for number in range(allowed + 5)]
    denied = [r[0] for r in results if r]
    assert [r.reason for r in denied] == [Reason.NO_REPEAT] * 5
    assert all(r.outcome is Outcome.NOT_RUN and r.retry_elsewhere for r in denied)
    assert len(world.pool.connections) == allowed


def test_a_repeat_that_was_shed_is_not_paid_for():
    """A repeat is granted, waits, and is withdrawn: the upstream never gets it."""
    world = World(slots=1)
    world.submit("running")
    job, _ = world.submit("waiting", arrived=True, attempt=2)
    assert world.grants.spent == 1
    world.gate.cancel(job)
    assert world.grants.spent == 0


def test_calls_of_a_repeated_run_are_counted_and_never_denied():
    """Denied, they would break a run that was let in as a repeat already."""
    world = World(slots=500)
    for number in range(int(world.grants.allowed) + 5):
        _, results = world.submit(f"r{number}", repeated=True)
        assert not results
    assert world.grants.spent > world.grants.allowed
