"""Every step of a request, with every fault at it."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.account import Account
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

    account = Account(ManualClock(), 9.0, attempts)
    return RequestStateMachine(account, idempotent, pick, pinned)


def refusal() -> CallResult:
    return CallResult(Outcome.NOT_RUN, Reason.SHED, retry_elsewhere=True)


def test_an_answer_ends_it():
    request = machine()
    request.start()
    [finish] = request.on_result(1, CallResult(Outcome.ANSWERED, status=200))
    assert finish.result.outcome is Outcome.ANSWERED


def test_a_refused_posting_is_tried_elsewhere():
    request = machine(idempotent=False)
    request.start()
    [call] = request.on_result(1, refusal())
    assert call.instance == "b"


def test_a_lost_posting_is_fenced_before_anything_else():
    # The connection broke: the posting may sit in the buffer of a paused
    # node, and run when it wakes.
    request = machine(idempotent=False)
    request.start()
    assert request.on_connection_lost(1) == [SendFence(1, "a")]


def test_a_fenced_posting_that_did_not_run_is_tried_elsewhere():
    request = machine(idempotent=False)
    request.start()
    request.on_connection_lost(1)
    [call] = request.on_fence_verdict(1, FenceVerdict.NOT_RUN)
    assert isinstance(call, SendCall)
    assert call.instance == "b"


def test_without_the_guards_word_a_lost_posting_is_unknown():
    for verdict in (FenceVerdict.UNKNOWN, FenceVerdict.HANDED_OVER):
        request = machine(idempotent=False)
        request.start()
        request.on_connection_lost(1)
        [finish] = request.on_fence_verdict(1, verdict)
        assert finish.result.outcome is Outcome.UNKNOWN


def test_a_lost_read_is_tried_elsewhere_without_waiting():
    request = machine()
    request.start()
    [call] = request.on_connection_lost(1)
    assert call.instance == "b"


def test_the_deadline_gives_the_final_answer_and_cancels():
    request = machine()
    request.start()
    cancel, finish = request.on_deadline()
    assert cancel == SendCancel(1, "a")
    assert finish.result.outcome is Outcome.UNKNOWN
    assert request.on_result(1, CallResult(Outcome.ANSWERED)) == []


def test_no_instance_is_proved_not_run():
    account = Account(ManualClock(), 9.0, 2)
    request = RequestStateMachine(account, False, lambda avoid: None)
    [finish] = request.start()
    assert finish.result.outcome is Outcome.NOT_RUN


def test_one_lost_attempt_spoils_the_proof_of_all():
    # The first try may have run; that the second was refused proves nothing.
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
def test_any_order_of_events_ends_once_and_truthfully(events, idempotent, n, data):
    request = machine(idempotent, n)
    commands = list(request.start())
    for event in events:
        number = data.draw(st.integers(1, len(request.attempts) or 1))
        if not request.attempts:
            break
        if event == "answer":
            commands += request.on_result(number, CallResult(Outcome.ANSWERED))
        elif event == "refuse":
            commands += request.on_result(number, refusal())
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


def test_an_upstream_that_refuses_by_turns_is_asked_again():
    """Every instance refuses every second request although it has room.

    Asking once more, also the one that refused before, costs a refusal and no
    run; given up, the call would fail all that was done above it.
    """
    machine = RequestStateMachine(
        Account(ManualClock(), deadline=9.0, attempts=0),
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


def test_a_guard_that_refuses_is_not_asked_again():
    machine = RequestStateMachine(
        Account(ManualClock(), deadline=9.0, attempts=0),
        True,
        lambda avoid: None if "a" in avoid else "a",
        free_retries=2,
    )
    shed = CallResult(Outcome.NOT_RUN, Reason.SHED, retry_elsewhere=True)
    [first] = machine.start()
    [finish] = machine.on_result(first.attempt, shed)
    assert finish.result.reason is Reason.SHED


def failed_by_itself() -> CallResult:
    return CallResult(
        Outcome.UNKNOWN,
        Reason.UPSTREAM_FAILED,
        500,
        body=b"why",
        retry_elsewhere=True,
    )


def test_an_upstreams_failure_is_told_if_the_next_attempt_comes_to_nothing():
    """The first upstream answers 500; the second has no room, or is lost.

    The caller gets the answer of the first, whole, and not that nobody knows.
    """
    for second in (
        CallResult(Outcome.NOT_RUN, Reason.SHED),
        CallResult(Outcome.UNKNOWN, Reason.CONNECTION),
    ):
        request = machine()
        request.start()
        request.on_result(1, failed_by_itself())
        [finish] = request.on_result(2, second)
        assert (finish.result.status, finish.result.body) == (500, b"why")


def test_an_upstreams_failure_is_told_when_the_time_runs_out_meanwhile():
    request = machine()
    request.start()
    request.on_result(1, failed_by_itself())
    *_, finish = request.on_deadline()
    assert finish.result.status == 500


def test_an_answer_after_a_failure_is_what_the_caller_gets():
    request = machine()
    request.start()
    request.on_result(1, failed_by_itself())
    [finish] = request.on_result(2, CallResult(Outcome.ANSWERED, status=200))
    assert finish.result.status == 200
