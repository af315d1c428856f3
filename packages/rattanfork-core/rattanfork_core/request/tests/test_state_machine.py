"""Tests of the request state machine: retries, fences, and the final outcome."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.budgets import RequestBudget
from rattanfork_core.clock import ManualClock
from rattanfork_core.request import (
    AttemptState,
    CallResult,
    FenceVerdict,
    Finish,
    Outcome,
    Reason,
    RequestStateMachine,
    SendCall,
    SendCancel,
    SendFence,
)

INSTANCES = ("a", "b", "c")


def machine(idempotent=True, attempts=2, pinned=None) -> RequestStateMachine:
    def pick(avoid):
        return next((i for i in INSTANCES if i not in avoid), None)

    budget = RequestBudget(ManualClock(), 9.0, attempts)
    return RequestStateMachine(budget, idempotent, pick, pinned)


def shed_result() -> CallResult:
    return CallResult(Outcome.NOT_RUN, Reason.SHED, retry_elsewhere=True)


def test_answer_finishes_request():
    request = machine()
    request.start()
    [finish] = request.on_result(1, CallResult(Outcome.ANSWERED, status=200))
    assert finish.result.outcome is Outcome.ANSWERED


def test_refused_write_is_retried_at_another_instance():
    request = machine(idempotent=False)
    request.start()
    [call] = request.on_result(1, shed_result())
    assert call.instance == "b"


def test_write_on_lost_connection_is_fenced_before_retry():
    # The write may be in the receive buffer of a paused process, and run when the
    # process resumes.
    request = machine(idempotent=False)
    request.start()
    assert request.on_connection_lost(1) == [SendFence(1, "a")]


def test_fenced_write_that_did_not_run_is_retried_at_another_instance():
    request = machine(idempotent=False)
    request.start()
    request.on_connection_lost(1)
    [call] = request.on_fence_verdict(1, FenceVerdict.NOT_RUN)
    assert isinstance(call, SendCall)
    assert call.instance == "b"


def test_outcome_of_lost_write_is_unknown_unless_fence_proves_not_run():
    for verdict in (FenceVerdict.UNKNOWN, FenceVerdict.HANDED_OVER):
        request = machine(idempotent=False)
        request.start()
        request.on_connection_lost(1)
        [finish] = request.on_fence_verdict(1, verdict)
        assert finish.result.outcome is Outcome.UNKNOWN


def test_write_whose_gate_stood_still_is_answered_by_its_late_reply():
    """Guards against 502 for a run whose reply comes after an unanswered fence."""
    request = machine(idempotent=False)
    request.start()
    request.on_connection_lost(1)
    [finish] = request.on_late_result(1, CallResult(Outcome.ANSWERED, status=200))
    assert finish.result.status == 200


def test_late_reply_to_an_attempt_that_was_decided_on_has_no_effect():
    request = machine(idempotent=False)
    request.start()
    request.on_connection_lost(1)
    request.on_fence_verdict(1, FenceVerdict.NOT_RUN)
    assert request.on_late_result(1, CallResult(Outcome.ANSWERED, status=200)) == []


def test_read_on_lost_connection_is_retried_without_fence():
    request = machine()
    request.start()
    [call] = request.on_connection_lost(1)
    assert call.instance == "b"


def test_deadline_cancels_attempt_and_finishes_as_unknown():
    request = machine()
    request.start()
    cancel, finish = request.on_deadline()
    assert cancel == SendCancel(1, "a")
    assert finish.result.outcome is Outcome.UNKNOWN
    assert request.on_result(1, CallResult(Outcome.ANSWERED)) == []


def test_request_without_any_instance_is_not_run():
    budget = RequestBudget(ManualClock(), 9.0, 2)
    request = RequestStateMachine(budget, False, lambda avoid: None)
    [finish] = request.start()
    assert finish.result.outcome is Outcome.NOT_RUN


def test_outcome_is_unknown_if_one_attempt_was_lost():
    # The first attempt may have run; the refusal of the second proves nothing about it.
    request = machine()
    request.start()
    request.on_connection_lost(1)
    answer = CallResult(Outcome.NOT_RUN, Reason.RULE)
    [finish] = request.on_result(2, answer)
    assert finish.result.outcome is Outcome.UNKNOWN


EVENTS = st.lists(
    st.sampled_from(
        ["answer", "refuse", "unknown", "lost", "fence", "fenced", "deadline", "left"]
    ),
    max_size=25,
)


@given(EVENTS, st.booleans(), st.integers(0, 3), st.data())
def test_any_event_order_finishes_once_with_a_true_outcome(events, idempotent, n, data):
    request = machine(idempotent, n)
    commands = list(request.start())
    for event in events:
        number = data.draw(st.integers(1, len(request.attempts) or 1))
        if not request.attempts:
            break
        if event == "answer":
            commands += request.on_result(number, CallResult(Outcome.ANSWERED))
        elif event == "refuse":
            commands += request.on_result(number, shed_result())
        elif event == "unknown":
            lost = CallResult(Outcome.UNKNOWN, retry_elsewhere=True)
            commands += request.on_result(number, lost)
        elif event == "lost":
            commands += request.on_connection_lost(number)
        elif event == "fence":
            commands += request.on_fence_verdict(number, FenceVerdict.NOT_RUN)
        elif event == "fenced":
            commands += request.on_fence_verdict(number, FenceVerdict.HANDED_OVER)
        elif event == "deadline":
            commands += request.on_deadline()
        else:
            commands += request.on_caller_disconnected()
    finishes = [c for c in commands if isinstance(c, Finish)]
    assert len(finishes) <= 1
    sent = [c for c in commands if isinstance(c, SendCall)]
    assert len(sent) <= 1 + n
    if not idempotent:
        unproved = [a for a in request.attempts if a.state != AttemptState.NOT_RUN]
        assert len(unproved) <= 1
    if finishes and finishes[0].result.outcome is Outcome.NOT_RUN:
        assert all(a.state is AttemptState.NOT_RUN for a in request.attempts)


def test_upstream_refusal_is_retried_at_same_instance_free_of_charge():
    """Guards against giving up on upstreams that refuse every second request.

    A retry after such a refusal runs nothing twice, while giving up would waste the
    work done for the request at the services earlier in the call chain.
    """
    machine = RequestStateMachine(
        RequestBudget(ManualClock(), deadline=9.0, attempts=0),
        False,
        lambda avoid: None if "a" in avoid else "a",
        free_retries=2,
    )
    refused = CallResult(Outcome.NOT_RUN, Reason.UPSTREAM_SHED, retry_elsewhere=True)
    [first] = machine.start()
    [second] = machine.on_result(first.attempt, refused)
    [third] = machine.on_result(second.attempt, refused)
    assert (second.instance, third.instance) == ("a", "a")
    [finish] = machine.on_result(third.attempt, refused)
    assert finish.result.outcome is Outcome.NOT_RUN


def test_shed_by_guard_is_not_retried_free_of_charge():
    machine = RequestStateMachine(
        RequestBudget(ManualClock(), deadline=9.0, attempts=0),
        True,
        lambda avoid: None if "a" in avoid else "a",
        free_retries=2,
    )
    shed = CallResult(Outcome.NOT_RUN, Reason.SHED, retry_elsewhere=True)
    [first] = machine.start()
    [finish] = machine.on_result(first.attempt, shed)
    assert finish.result.reason is Reason.SHED


def upstream_error() -> CallResult:
    return CallResult(
        Outcome.UNKNOWN,
        Reason.UPSTREAM_FAILED,
        500,
        body=b"why",
        retry_elsewhere=True,
    )


def test_upstream_error_is_returned_if_the_retry_gets_no_response():
    """Guards against reporting "unknown" in place of an upstream's error response.

    The first upstream answers 500; the retry is shed, or its connection is lost.
    """
    for second in (
        CallResult(Outcome.NOT_RUN, Reason.SHED),
        CallResult(Outcome.UNKNOWN, Reason.CONNECTION),
    ):
        request = machine()
        request.start()
        request.on_result(1, upstream_error())
        [finish] = request.on_result(2, second)
        assert (finish.result.status, finish.result.body) == (500, b"why")


def test_upstream_error_is_returned_if_the_retry_exceeds_the_deadline():
    request = machine()
    request.start()
    request.on_result(1, upstream_error())
    *_, finish = request.on_deadline()
    assert finish.result.status == 500


def test_answer_of_retry_replaces_earlier_upstream_error():
    request = machine()
    request.start()
    request.on_result(1, upstream_error())
    [finish] = request.on_result(2, CallResult(Outcome.ANSWERED, status=200))
    assert finish.result.status == 200
