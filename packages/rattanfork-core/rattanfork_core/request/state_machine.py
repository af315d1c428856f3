"""The life of one request at the node that took it."""

from collections.abc import Callable

from rattanfork_core.account import Account
from rattanfork_core.request.attempt import Attempt, AttemptState
from rattanfork_core.request.commands import (
    Command,
    Finish,
    SendCall,
    SendCancel,
    SendFence,
)
from rattanfork_core.request.outcome import Outcome, Reason
from rattanfork_core.request.result import CallResult, FenceVerdict

#: Picks an instance, given those to avoid; None if there is none.
Picker = Callable[[frozenset[str]], str | None]


#: Refusals of an attempt that an upstream can't have begun.
_REACHED_NOBODY = frozenset((Reason.UPSTREAM_SHED, Reason.NO_REPEAT))


class RequestStateMachine:
    """Decides every step of a request from its arrival to its final answer.

    Explanation
    ===========

    The machine does no I/O.  Its driver tells it what happened and carries
    out the commands it returns.  It sends at most one attempt at a time.

    An attempt whose connection is lost is *fenced*: the machine asks the
    guard, over another connection, to refuse the attempt from then on.  Only
    the guard's word turns a lost attempt into "not run"; without it the
    outcome of a request that is not idempotent is unknown.  A belief ("the
    connection was refused, so it can't have run") would be false for a call
    that sits in the buffer of a paused process and runs when it wakes.

    Parameters
    ==========

    account : Account
        Deadline and extra attempts.
    idempotent : bool
        Whether running twice does no harm.
    pick : callable
        Chooses an instance.
    pinned : str or None
        The only instance that may run the request, for one that carries the
        key of that instance.
    may_retry : callable
        Asked last before a retry: the retry budget of the target.
    free_retries : int
        Attempts that an upstream itself refused as not run and that cost
        nothing of the account: what may run is bounded by the account, what
        is sent by ``may_retry``.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> account = Account(clock, deadline=1.0, attempts=1)
    >>> machine = RequestStateMachine(account, True, lambda avoid: "w1")
    >>> machine.start()
    [SendCall(attempt=1, instance='w1', lent_attempts=1)]
    >>> [finish] = machine.on_result(1, CallResult(Outcome.ANSWERED, status=200))
    >>> finish.result.status
    200

    See Also
    ========

    rattanfork_core.atmostonce.RunLedger : answers the fences.
    """

    def __init__(
        self,
        account: Account,
        idempotent: bool,
        pick: Picker,
        pinned: str | None = None,
        may_retry: Callable[[], bool] = lambda: True,
        free_retries: int = 0,
    ) -> None:
        self._account = account
        self._idempotent = idempotent
        self._pick = pick
        self._pinned = pinned
        self._may_retry = may_retry
        self._free_refusals = free_retries
        self._upstream_refused = False
        self._attempts: list[Attempt] = []
        self._avoid: frozenset[str] = frozenset()
        self._finished = False
        self._given_up: Reason | None = None
        self._failure: CallResult | None = None

    @property
    def finished(self) -> bool:
        """Whether the caller has its final answer."""
        return self._finished

    @property
    def attempts(self) -> list[Attempt]:
        """The attempts made so far."""
        return self._attempts

    def start(self) -> list[Command]:
        """Send the first attempt, or finish if there is no instance."""
        return self._send_next(CallResult(Outcome.NOT_RUN, Reason.NO_INSTANCE))

    def on_result(self, number: int, result: CallResult) -> list[Command]:
        """Take the guard's answer to an attempt."""
        attempt = self._attempts[number - 1]
        if self._finished or attempt.state is not AttemptState.SENT:
            # Late: the attempt was fenced or the caller has its answer.  What
            # the attempt had left was written off, and is not given out again.
            return []
        self._account.take_back(attempt.lent_attempts, result.unused_attempts)
        if result.outcome is Outcome.ANSWERED:
            attempt.state = AttemptState.ANSWERED
            return self._finish(result)
        if result.outcome is Outcome.NOT_RUN:
            attempt.state = AttemptState.NOT_RUN
        else:
            attempt.state = AttemptState.MAYBE_RUN
            if result.status:
                self._failure = result
        return self._retry_or_finish(attempt, result)

    def on_connection_lost(self, number: int) -> list[Command]:
        """Take note that the connection of an attempt is gone or silent."""
        attempt = self._attempts[number - 1]
        if self._finished or attempt.state is not AttemptState.SENT:
            return []
        if self._idempotent and self._can_retry(attempt):
            # Running a read twice does no harm, so waiting for the guard's
            # word would only cost time.
            attempt.state = AttemptState.MAYBE_RUN
            return self._retry(attempt)
        attempt.state = AttemptState.FENCING
        return [SendFence(number, attempt.instance)]

    def on_fence_verdict(self, number: int, verdict: FenceVerdict) -> list[Command]:
        """Take a guard's word on a fenced attempt."""
        attempt = self._attempts[number - 1]
        if self._finished or attempt.state is not AttemptState.FENCING:
            return []
        if verdict is FenceVerdict.NOT_RUN:
            attempt.state = AttemptState.NOT_RUN
            reason = self._given_up or Reason.CONNECTION
            result = CallResult(Outcome.NOT_RUN, reason, retry_elsewhere=True)
        else:
            attempt.state = AttemptState.MAYBE_RUN
            reason = self._given_up or Reason.CONNECTION
            result = CallResult(Outcome.UNKNOWN, reason, retry_elsewhere=True)
        if self._given_up is not None:
            return self._finish(self._judge(result))
        return self._retry_or_finish(attempt, result)

    def on_deadline(self) -> list[Command]:
        """Answer at once: the time is up."""
        return self._give_up(Reason.DEADLINE)

    def on_caller_disconnected(self) -> list[Command]:
        """Stop all work: nobody waits for the answer."""
        return self._give_up(Reason.CANCELLED)

    def _give_up(self, reason: Reason) -> list[Command]:
        if self._finished:
            return []
        self._given_up = reason
        commands: list[Command] = []
        for attempt in self._attempts:
            if attempt.state in (AttemptState.SENT, AttemptState.FENCING):
                commands.append(SendCancel(attempt.number, attempt.instance))
                attempt.state = AttemptState.MAYBE_RUN
        result = CallResult(Outcome.UNKNOWN, reason)
        return commands + self._finish(self._judge(result))

    def _judge(self, result: CallResult) -> CallResult:
        # A request is "not run" only if that is proved of every attempt.
        proved = all(a.state is AttemptState.NOT_RUN for a in self._attempts)
        result.outcome = Outcome.NOT_RUN if proved else Outcome.UNKNOWN
        return result

    def _can_retry(self, attempt: Attempt) -> bool:
        if self._pinned is not None or self._account.expired:
            return False
        if self._account.attempts < 1 and not self._is_free(attempt):
            return False
        safe = self._idempotent or attempt.state is AttemptState.NOT_RUN
        if not safe or self._next_instance(attempt) is None:
            return False
        return self._may_retry()

    def _is_free(self, attempt: Attempt) -> bool:
        refused = attempt.state is AttemptState.NOT_RUN
        return refused and self._upstream_refused and self._free_refusals > 0

    def _next_instance(self, attempt: Attempt) -> str | None:
        other = self._pick(self._avoid | {attempt.instance})
        if other is None and self._is_free(attempt):
            return self._pick(frozenset())
        return other

    def _retry_or_finish(self, attempt: Attempt, result: CallResult) -> list[Command]:
        self._upstream_refused = result.reason in _REACHED_NOBODY
        if result.retry_elsewhere and self._can_retry(attempt):
            return self._retry(attempt)
        return self._finish(self._judge(result))

    def _retry(self, attempt: Attempt) -> list[Command]:
        if self._is_free(attempt):
            self._free_refusals -= 1
        else:
            self._account.spend()
        if self._pick(self._avoid | {attempt.instance}) is not None:
            self._avoid = self._avoid | {attempt.instance}
        else:
            # All others have been asked, and who refuses may do so by turns.
            self._avoid = frozenset()
        return self._send_next(CallResult(Outcome.UNKNOWN, Reason.NO_INSTANCE))

    def _send_next(self, otherwise: CallResult) -> list[Command]:
        instance = self._pinned or self._pick(self._avoid)
        if instance is None:
            return self._finish(self._judge(otherwise))
        lent = self._account.lend()
        attempt = Attempt(len(self._attempts) + 1, instance, lent)
        self._attempts.append(attempt)
        return [SendCall(attempt.number, instance, lent)]

    def _finish(self, result: CallResult) -> list[Command]:
        self._finished = True
        unanswered = result.outcome is Outcome.UNKNOWN and not result.status
        if unanswered and self._failure is not None:
            # An upstream failed and said so, and the attempt after it came to
            # nothing: its own words tell the caller more than that nobody knows.
            result = self._failure
        # Whoever drives this machine is bound in these.  Kept, they tie each
        # request into a cycle with its body, which waits for a collection: a
        # node at 5000 requests a second held 24 MB of requests long answered.
        self._pick = _no_instance
        self._may_retry = _never
        result.unused_attempts = self._account.attempts
        return [Finish(result)]


def _no_instance(avoid: frozenset[str]) -> str | None:
    return None


def _never() -> bool:
    return False
