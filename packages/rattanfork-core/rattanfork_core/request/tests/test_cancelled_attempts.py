"""Tests of the outcome of a request whose attempt is cancelled near its deadline."""

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
    Proof,
    Reason,
    RequestStateMachine,
    SendCall,
    SendCancel,
    SendFence,
)

INSTANCES = ("a", "b", "c")


def machine(idempotent=False, attempts=2) -> RequestStateMachine:
    def pick(avoid):
        return next((i for i in INSTANCES if i not in avoid), None)

    budget = RequestBudget(ManualClock(), 9.0, attempts)
    return RequestStateMachine(budget, idempotent, pick)


def cancelled_machine(reason=Reason.DEADLINE, **options) -> RequestStateMachine:
    request = machine(**options)
    request.start()
    assert request.begin_cancel(reason) == [SendCancel(1, "a")]
    return request


def test_reply_to_cancel_proves_that_a_waiting_attempt_has_not_run():
    """Guards against "unknown" for a request that waited in a gate's queue."""
    request = cancelled_machine()
    [finish] = request.on_result(1, CallResult(Outcome.NOT_RUN, Reason.CANCELLED))
    assert finish.result.outcome is Outcome.NOT_RUN
    assert finish.result.reason is Reason.DEADLINE
    assert finish.result.proof is Proof.CANCEL


def test_unanswered_cancel_leaves_the_outcome_unknown():
    """A gate of an earlier version, or one that has handed the attempt over."""
    request = cancelled_machine()
    [finish] = request.on_deadline()
    assert finish.result.outcome is Outcome.UNKNOWN
    assert finish.result.reason is Reason.DEADLINE
    assert finish.result.proof is Proof.NONE
    assert request.on_result(1, CallResult(Outcome.NOT_RUN, Reason.CANCELLED)) == []


def test_response_that_arrives_after_the_cancel_is_returned():
    request = cancelled_machine()
    [finish] = request.on_result(1, CallResult(Outcome.ANSWERED, status=200))
    assert finish.result.status == 200


def test_unknown_result_after_the_cancel_leaves_the_outcome_unknown():
    """The gate has aborted the run, or its connection to the upstream was lost."""
    for reason, expected in (
        (Reason.CANCELLED, Reason.DEADLINE),
        (Reason.CONNECTION, Reason.CONNECTION),
    ):
        request = cancelled_machine()
        [finish] = request.on_result(1, CallResult(Outcome.UNKNOWN, reason))
        assert finish.result.outcome is Outcome.UNKNOWN
        assert finish.result.reason is expected
        assert finish.result.proof is Proof.NONE


def test_refused_attempt_is_not_retried_after_the_cancel():
    """A retry could be handed over in the time left, with no reply until its end."""
    request = cancelled_machine()
    refused = CallResult(Outcome.NOT_RUN, Reason.SHED, retry_elsewhere=True)
    [finish] = request.on_result(1, refused)
    assert finish.result.outcome is Outcome.NOT_RUN
    assert finish.result.reason is Reason.SHED
    assert finish.result.proof is Proof.GATE


def test_link_lost_after_the_cancel_is_fenced():
    request = cancelled_machine()
    assert request.on_connection_lost(1) == [SendFence(1, "a")]
    [finish] = request.on_fence_verdict(1, FenceVerdict.NOT_RUN)
    assert finish.result.outcome is Outcome.NOT_RUN
    assert finish.result.proof is Proof.FENCE


def test_fence_in_progress_is_awaited_until_the_deadline():
    request = machine()
    request.start()
    request.on_connection_lost(1)
    assert request.begin_cancel(Reason.DEADLINE) == []
    [finish] = request.on_fence_verdict(1, FenceVerdict.NOT_RUN)
    assert finish.result.outcome is Outcome.NOT_RUN
    assert finish.result.reason is Reason.DEADLINE


def test_cancel_reply_proves_nothing_about_an_earlier_lost_attempt():
    request = machine(idempotent=True)
    request.start()
    request.on_connection_lost(1)
    request.begin_cancel(Reason.DEADLINE)
    [finish] = request.on_result(2, CallResult(Outcome.NOT_RUN, Reason.CANCELLED))
    assert finish.result.outcome is Outcome.UNKNOWN
    assert finish.result.proof is Proof.NONE


def test_cancel_by_reason_other_than_the_deadline_keeps_its_reason():
    request = cancelled_machine(Reason.LEAVING)
    assert request.begin_cancel(Reason.DEADLINE) == []
    [finish] = request.on_deadline()
    assert finish.result.reason is Reason.LEAVING


def test_proof_names_where_an_attempt_was_refused():
    for result, proof in (
        (CallResult(Outcome.NOT_RUN, Reason.SHED), Proof.GATE),
        (CallResult(Outcome.NOT_RUN, Reason.UPSTREAM_SHED), Proof.UPSTREAM),
        (
            CallResult(Outcome.NOT_RUN, Reason.NO_INSTANCE, proof=Proof.UNWRITTEN),
            Proof.UNWRITTEN,
        ),
    ):
        request = machine()
        request.start()
        [finish] = request.on_result(1, result)
        assert finish.result.proof is proof


def test_request_without_any_attempt_needs_no_proof_of_a_gate():
    request = RequestStateMachine(
        RequestBudget(ManualClock(), 9.0, 2), False, lambda avoid: None
    )
    [finish] = request.start()
    assert finish.result.proof is Proof.NO_ATTEMPT


EVENTS = st.lists(
    st.sampled_from(
        [
            "answer",
            "refuse",
            "withdraw",
            "unknown",
            "lost",
            "not handed over",
            "handed over",
            "cancel",
            "deadline",
            "left",
        ]
    ),
    max_size=25,
)


def apply(request: RequestStateMachine, event: str, number: int) -> list:
    """Return the commands of an event, for the attempt of a number."""
    results = {
        "answer": CallResult(Outcome.ANSWERED, status=200),
        "refuse": CallResult(Outcome.NOT_RUN, Reason.SHED, retry_elsewhere=True),
        "withdraw": CallResult(Outcome.NOT_RUN, Reason.CANCELLED),
        "unknown": CallResult(Outcome.UNKNOWN, retry_elsewhere=True),
    }
    if event in results:
        return request.on_result(number, results[event])
    if event == "lost":
        return request.on_connection_lost(number)
    if event == "not handed over":
        return request.on_fence_verdict(number, FenceVerdict.NOT_RUN)
    if event == "handed over":
        return request.on_fence_verdict(number, FenceVerdict.HANDED_OVER)
    if event == "cancel":
        return request.begin_cancel(Reason.DEADLINE)
    if event == "deadline":
        return request.on_deadline()
    return request.on_caller_disconnected()


@given(EVENTS, st.booleans(), st.integers(0, 3), st.data())
def test_any_order_of_cancels_and_events_finishes_with_a_true_outcome(
    events, idempotent, attempts, data
):
    request = machine(idempotent, attempts)
    commands = list(request.start())
    cancelled = False
    for event in events:
        number = data.draw(st.integers(1, len(request.attempts)))
        issued = apply(request, event, number)
        commands += issued
        if cancelled:
            assert not any(isinstance(c, SendCall) for c in issued)
        cancelled |= event == "cancel"
    finishes = [c for c in commands if isinstance(c, Finish)]
    assert len(finishes) <= 1
    states = [a.state for a in request.attempts]
    if not idempotent:
        assert sum(s is not AttemptState.NOT_RUN for s in states) <= 1
    if finishes and finishes[0].result.outcome is Outcome.NOT_RUN:
        assert all(s is AttemptState.NOT_RUN for s in states)
        assert finishes[0].result.proof
    elif finishes:
        assert not finishes[0].result.proof
