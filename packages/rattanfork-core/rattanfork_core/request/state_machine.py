"""State machine of a request, from its arrival at a node to its final result."""

from collections.abc import Callable

from rattanfork_core.budgets.request_budget import RequestBudget
from rattanfork_core.request.attempt import Attempt, AttemptState
from rattanfork_core.request.commands import (
    Command,
    Finish,
    SendCall,
    SendCancel,
    SendFence,
)
from rattanfork_core.request.outcome import Outcome, Reason
from rattanfork_core.request.proof import Proof
from rattanfork_core.request.result import CallResult, FenceVerdict

#: Picks an instance, given those to avoid; returns None if there is no other.
InstancePicker = Callable[[frozenset[str]], str | None]


#: Refusals that prove that no upstream has started the attempt.  The retry may be
#: free of charge.
_NOT_STARTED = frozenset((Reason.UPSTREAM_SHED, Reason.NO_REPEAT))


class RequestStateMachine:
    """Decides on attempts, retries and the final result of one request.

    Explanation
    ===========

    The state machine does no I/O: its driver reports events and carries out the
    commands that it returns.  It sends at most one attempt at a time.

    An attempt whose connection is lost is *fenced*: the guard (the node beside the
    upstream) receives a fence over another connection, and refuses the attempt from
    then on.
    A lost attempt counts as "not run" only if the guard confirms it; otherwise the
    outcome of a request that is not idempotent is unknown.  The lost connection
    itself proves nothing: the attempt may be in the receive buffer of a paused
    process, and run when the process resumes.

    Shortly before its deadline, a request may be cancelled: its attempt is not
    retried any more, and the guard's reply to the cancel says whether the attempt
    was handed over.  Without a reply by the deadline, the outcome is unknown.

    Parameters
    ==========

    budget : RequestBudget
        Deadline and extra attempts of the request.
    idempotent : bool
        Whether the request may be run more than once.
    pick : callable
        Picks an instance, given those to avoid; returns None if there is no other.
    pinned : str or None
        The only instance that may run the request, for a request with an
        idempotency key of that instance.
    may_retry : callable
        Spends one retry of the target's retry budget; returns whether there was
        one.  Called last, when all other conditions for a retry hold.
    free_retries : int
        Retries, after an upstream has refused an attempt without running it, that
        are not charged to ``budget``, which bounds how often the request may run;
        ``may_retry`` bounds how often it is sent.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> budget = RequestBudget(clock, deadline=1.0, attempts=1)
    >>> machine = RequestStateMachine(budget, True, lambda avoid: "w1")
    >>> machine.start()
    [SendCall(attempt=1, instance='w1', delegated_attempts=1)]
    >>> [finish] = machine.on_result(1, CallResult(Outcome.ANSWERED, status=200))
    >>> finish.result.status
    200

    See Also
    ========

    rattanfork_core.idempotency.KeyRegistry : answers the fences.
    """

    def __init__(
        self,
        budget: RequestBudget,
        idempotent: bool,
        pick: InstancePicker,
        pinned: str | None = None,
        may_retry: Callable[[], bool] = lambda: True,
        free_retries: int = 0,
    ) -> None:
        self._budget = budget
        self._idempotent = idempotent
        self._pick = pick
        self._pinned = pinned
        self._may_retry = may_retry
        self._free_retries = free_retries
        self._last_not_started = False
        self._attempts: list[Attempt] = []
        self._avoided: frozenset[str] = frozenset()
        self._finished = False
        self._give_up_reason: Reason | None = None
        self._upstream_failure: CallResult | None = None
        #: Reason of the latest attempt that may have run and was not answered.
        self._loss_reason = Reason.NONE

    @property
    def finished(self) -> bool:
        """Whether the final result has been returned."""
        return self._finished

    @property
    def attempts(self) -> list[Attempt]:
        """Attempts made so far, in order."""
        return self._attempts

    def start(self) -> list[Command]:
        """Send the first attempt, or finish if no instance is available."""
        return self._send_next(CallResult(Outcome.NOT_RUN, Reason.NO_INSTANCE))

    def record_first_attempt(self, instance: str) -> None:
        """Record that the first attempt was sent without :meth:`start`.

        A driver that creates the state machine only once it needs a decision has
        picked the instance of the first attempt itself.
        """
        delegated = self._budget.delegate()
        self._attempts.append(Attempt(1, instance, delegated))

    def on_result(self, number: int, result: CallResult) -> list[Command]:
        """Handle the guard's result of an attempt."""
        attempt = self._attempts[number - 1]
        if attempt.state is AttemptState.CANCELLING and not self._finished:
            return self._finish_cancelled(attempt, result)
        if self._finished or attempt.state is not AttemptState.SENT:
            # Too late: the attempt was fenced, or the request is finished.  Its
            # unused extra attempts were written off and are not credited again.
            return []
        self._budget.reclaim(attempt.delegated_attempts, result.unused_attempts)
        if result.outcome is Outcome.ANSWERED:
            attempt.state = AttemptState.ANSWERED
            return self._finish(result)
        if result.outcome is Outcome.NOT_RUN:
            _mark_not_run(attempt, result)
        else:
            self._record_loss(attempt, result)
        return self._retry_or_finish(attempt, result)

    def on_late_result(self, number: int, result: CallResult) -> list[Command]:
        """Handle the guard's result of an attempt whose fence it did not answer."""
        attempt = self._attempts[number - 1]
        if self._finished or attempt.state is not AttemptState.FENCING:
            return []
        attempt.state = AttemptState.SENT
        return self.on_result(number, result)

    def on_connection_lost(self, number: int) -> list[Command]:
        """Retry or fence an attempt whose connection was lost or does not respond."""
        attempt = self._attempts[number - 1]
        cancelling = attempt.state is AttemptState.CANCELLING
        if self._finished or not (cancelling or attempt.state is AttemptState.SENT):
            return []
        if self._idempotent and not cancelling and self._can_retry(attempt):
            # An idempotent request may run twice, so there is no need to wait
            # for the guard's reply to a fence.
            self._record_loss(attempt, CallResult(Outcome.UNKNOWN, Reason.CONNECTION))
            return self._retry(attempt)
        attempt.state = AttemptState.FENCING
        return [SendFence(number, attempt.instance)]

    def on_fence_verdict(self, number: int, verdict: FenceVerdict) -> list[Command]:
        """Handle the guard's reply to a fence."""
        attempt = self._attempts[number - 1]
        if self._finished or attempt.state is not AttemptState.FENCING:
            return []
        if verdict is FenceVerdict.NOT_RUN:
            attempt.state = AttemptState.NOT_RUN
            attempt.proof = Proof.FENCE
            reason = self._give_up_reason or Reason.CONNECTION
            result = CallResult(Outcome.NOT_RUN, reason, retry_elsewhere=True)
        else:
            reason = self._give_up_reason or Reason.CONNECTION
            result = CallResult(Outcome.UNKNOWN, reason, retry_elsewhere=True)
            self._record_loss(attempt, result)
        if self._give_up_reason is not None:
            return self._finish(self._with_proved_outcome(result))
        return self._retry_or_finish(attempt, result)

    def begin_cancel(self, reason: Reason) -> list[Command]:
        """Cancel the attempt in progress, whose result then decides the outcome.

        Has to be followed by :meth:`on_deadline`, which finishes the request if no
        result arrives.  It must not be retried meanwhile.

        Parameters
        ==========

        reason : Reason
            Why the request ends; that of an earlier call is kept.
        """
        if self._finished:
            return []
        self._give_up_reason = self._give_up_reason or reason
        commands: list[Command] = []
        for attempt in self._attempts:
            if attempt.state is AttemptState.SENT:
                attempt.state = AttemptState.CANCELLING
                commands.append(SendCancel(attempt.number, attempt.instance))
        return commands

    def on_deadline(self) -> list[Command]:
        """Finish the request: its deadline has passed."""
        return self._give_up(self._give_up_reason or Reason.DEADLINE)

    def on_caller_disconnected(self) -> list[Command]:
        """Cancel the request: its caller has disconnected."""
        return self._give_up(Reason.CANCELLED)

    def _give_up(self, reason: Reason) -> list[Command]:
        if self._finished:
            return []
        self._give_up_reason = reason
        commands: list[Command] = []
        for attempt in self._attempts:
            if attempt.state in (AttemptState.SENT, AttemptState.FENCING):
                commands.append(SendCancel(attempt.number, attempt.instance))
                attempt.state = AttemptState.MAYBE_RUN
            elif attempt.state is AttemptState.CANCELLING:
                attempt.state = AttemptState.MAYBE_RUN
        result = CallResult(Outcome.UNKNOWN, reason)
        return commands + self._finish(self._with_proved_outcome(result))

    def _finish_cancelled(self, attempt: Attempt, result: CallResult) -> list[Command]:
        """Finish a cancelled request with the result of its attempt."""
        if result.outcome is Outcome.ANSWERED:
            attempt.state = AttemptState.ANSWERED
            return self._finish(result)
        if result.outcome is Outcome.NOT_RUN:
            _mark_not_run(attempt, result)
        else:
            self._record_loss(attempt, result)
        reason = result.reason
        if reason is Reason.CANCELLED:
            reason = self._give_up_reason
        return self._finish(
            self._with_proved_outcome(CallResult(result.outcome, reason))
        )

    def _record_loss(self, attempt: Attempt, result: CallResult) -> None:
        """Record the result of an attempt that may have run."""
        attempt.state = AttemptState.MAYBE_RUN
        self._loss_reason = result.reason
        if result.status:
            self._upstream_failure = result

    def _with_proved_outcome(self, result: CallResult) -> CallResult:
        # A request is "not run" only if that is proved for every attempt.
        all_not_run = all(a.state is AttemptState.NOT_RUN for a in self._attempts)
        if all_not_run:
            result.outcome = Outcome.NOT_RUN
            last = self._attempts[-1].proof if self._attempts else Proof.NO_ATTEMPT
            result.proof = last
        else:
            is_refusal = result.outcome is Outcome.NOT_RUN
            if is_refusal and result.reason is not self._give_up_reason:
                # The refusal of a retry explains why there was no other attempt, not
                # why it is unknown whether the request has run.
                result.reason = self._loss_reason
            result.outcome, result.proof = Outcome.UNKNOWN, Proof.NONE
        return result

    def _can_retry(self, attempt: Attempt) -> bool:
        if self._pinned is not None or self._budget.expired:
            return False
        if self._budget.attempts < 1 and not self._is_free_retry(attempt):
            return False
        may_run_again = self._idempotent or attempt.state is AttemptState.NOT_RUN
        if not may_run_again or self._next_instance(attempt) is None:
            return False
        return self._may_retry()

    def _is_free_retry(self, attempt: Attempt) -> bool:
        refused = attempt.state is AttemptState.NOT_RUN
        return refused and self._last_not_started and self._free_retries > 0

    def _next_instance(self, attempt: Attempt) -> str | None:
        other = self._pick(self._avoided | {attempt.instance})
        if other is None and self._is_free_retry(attempt):
            return self._pick(frozenset())
        return other

    def _retry_or_finish(self, attempt: Attempt, result: CallResult) -> list[Command]:
        self._last_not_started = result.reason in _NOT_STARTED
        if result.retry_elsewhere and self._can_retry(attempt):
            return self._retry(attempt)
        return self._finish(self._with_proved_outcome(result))

    def _retry(self, attempt: Attempt) -> list[Command]:
        if self._is_free_retry(attempt):
            self._free_retries -= 1
        else:
            self._budget.spend()
        if self._pick(self._avoided | {attempt.instance}) is not None:
            self._avoided = self._avoided | {attempt.instance}
        else:
            # Every instance has been tried.  A refusal may be temporary, so all
            # of them are allowed again.
            self._avoided = frozenset()
        return self._send_next(CallResult(Outcome.NOT_RUN, Reason.NO_INSTANCE))

    def _send_next(self, if_none: CallResult) -> list[Command]:
        instance = self._pinned or self._pick(self._avoided)
        if instance is None:
            return self._finish(self._with_proved_outcome(if_none))
        delegated = self._budget.delegate()
        attempt = Attempt(len(self._attempts) + 1, instance, delegated)
        self._attempts.append(attempt)
        return [SendCall(attempt.number, instance, delegated)]

    def _finish(self, result: CallResult) -> list[Command]:
        self._finished = True
        no_answer = result.outcome is Outcome.UNKNOWN and not result.status
        has_left = result.reason is Reason.CANCELLED
        if no_answer and not has_left and self._upstream_failure is not None:
            # An earlier attempt got an error response from its upstream, and the
            # last one got none: the error is more specific than an unknown outcome.
            result = self._upstream_failure
        # These callables refer to the driver, which refers to this object.  The
        # cycle would keep each request and its body until the next garbage
        # collection: 24 MB of finished requests at 5000 requests a second.
        self._pick = _no_instance
        self._may_retry = _may_not_retry
        result.unused_attempts = self._budget.attempts
        return [Finish(result)]


def _mark_not_run(attempt: Attempt, result: CallResult) -> None:
    attempt.state = AttemptState.NOT_RUN
    if result.proof:
        attempt.proof = result.proof
    elif result.reason is Reason.CANCELLED:
        attempt.proof = Proof.CANCEL
    elif result.reason is Reason.UPSTREAM_SHED:
        attempt.proof = Proof.UPSTREAM
    else:
        attempt.proof = Proof.GATE


def _no_instance(avoid: frozenset[str]) -> str | None:
    return None


def _may_not_retry() -> bool:
    return False
