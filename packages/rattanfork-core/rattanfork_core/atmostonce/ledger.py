"""A guard's memory of keys."""

from collections import OrderedDict

from rattanfork_core.atmostonce.record import RunRecord, RunState
from rattanfork_core.atmostonce.ticket import Ticket
from rattanfork_core.atmostonce.verdicts import (
    AlreadyAnswered,
    JoinRunning,
    RefuseKey,
    RunNow,
)
from rattanfork_core.clock import Clock
from rattanfork_core.request.outcome import Outcome, Reason
from rattanfork_core.request.result import CallResult, FenceVerdict

Verdict = RunNow | JoinRunning | AlreadyAnswered | RefuseKey

_EPOCHS_KEPT = 2


class RunLedger:
    """Decides, for one incarnation of one guard, which keys run.

    Explanation
    ===========

    A key names the incarnation of the guard that may run it, so who may run
    it depends on the key alone: not on membership views, leases, the table,
    or anybody's clock.  Within that incarnation this ledger is the only
    authority.  It hands a key over at most once because it marks the key
    before it lets it go, and because it never forgets a key that it would
    still accept:

    - Memory is kept in epochs, numbered by the guard itself.  A key carries
      the epoch in which it was issued, and is accepted only while that epoch
      is kept.  When an epoch is dropped, all its keys are refused from then
      on, so a duplicate held up for longer than the memory lasts cannot run
      a second time.
    - An epoch ends after a time on the guard's own clock or a number of
      keys, whichever is first, so memory is bounded at any rate.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    instance, boot : str
        The instance and this incarnation of its guard.
    epoch_seconds : float
        Longest time an epoch lasts.
    epoch_keys : int
        Most keys of an epoch.
    kept_bytes : int
        Most bytes of answers kept for repeated keys.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> ledger = RunLedger(ManualClock(), "claims-1", "b1")
    >>> ticket = Ticket("claims", "claims-1", "b1", ledger.epoch, 7)
    >>> verdict = ledger.arrive("k", ticket, "clerk", 99)
    >>> ledger.hand_over(verdict.record)
    True
    >>> ledger.fence("k", ticket)
    <FenceVerdict.HANDED_OVER: 1>
    >>> ledger.arrive("k", ticket, "another", 99).reason
    <Reason.KEY_MISUSED: 15>

    See Also
    ========

    rattanfork_core.request.RequestStateMachine : asks for fences.
    """

    def __init__(
        self,
        clock: Clock,
        instance: str,
        boot: str,
        epoch_seconds: float = 300.0,
        epoch_keys: int = 50_000,
        kept_bytes: int = 16 << 20,
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._boot = boot
        self._epoch_seconds = epoch_seconds
        self._epoch_keys = epoch_keys
        self._kept_bytes = kept_bytes
        self._epoch = 1
        self._epoch_began = clock.now()
        self._epochs: OrderedDict[int, dict[str, RunRecord]] = OrderedDict({1: {}})
        self._kept: OrderedDict[str, RunRecord] = OrderedDict()
        self._kept_size = 0

    @property
    def epoch(self) -> int:
        """The epoch in which keys are issued now."""
        return self._epoch

    @property
    def remembered(self) -> int:
        """Keys remembered."""
        return sum(len(records) for records in self._epochs.values())

    @property
    def kept_size(self) -> int:
        """Bytes of answers kept."""
        return self._kept_size

    def arrive(self, key: str, ticket: Ticket, caller: str, digest: int) -> Verdict:
        """Take in a request with a key.

        Parameters
        ==========

        key : str
            The key as the caller sent it.
        ticket : Ticket
            The same, read.
        caller : str
            Who sent it.
        digest : int
            Hash of the request's method, path and body.
        """
        self._turn_epoch()
        records = self._records(ticket)
        if records is None:
            # Whether it ran in an incarnation or epoch that is gone cannot be
            # told, but it will not run from now on.
            return RefuseKey(Outcome.UNKNOWN, Reason.KEY_EXPIRED)
        record = records.get(key)
        if record is None:
            if len(records) >= 2 * self._epoch_keys:
                # Keys issued before a burst may all come back in one epoch.
                return RefuseKey(Outcome.UNKNOWN, Reason.KEY_EXPIRED)
            record = RunRecord(key, caller, digest)
            records[key] = record
            return RunNow(record)
        if record.state is not RunState.FENCED and (
            record.caller != caller or record.digest != digest
        ):
            # Another's answer must not be given out, nor another request run
            # under a key that has been used.
            return RefuseKey(Outcome.NOT_RUN, Reason.KEY_MISUSED)
        return self._repeat(record)

    def hand_over(self, record: RunRecord) -> bool:
        """Mark a key as handed to the upstream; False forbids it.

        Must be called immediately before the request is written.
        """
        if record.state is not RunState.WAITING:
            return False
        record.state = RunState.HANDED_OVER
        return True

    def refuse(self, record: RunRecord) -> bool:
        """Refuse for good a key that was not handed over.

        Returns whether the key is now proved not to have run.
        """
        if record.state is RunState.WAITING:
            # A copy of the request may be held up somewhere.  Were the key
            # left open, the copy would run after its caller was told
            # "not run".
            record.state = RunState.FENCED
        return record.state is RunState.FENCED

    def retract(self, record: RunRecord) -> None:
        """Take back a hand-over that provably did not take place."""
        if record.state is RunState.HANDED_OVER:
            record.state = RunState.FENCED

    def answer(self, record: RunRecord, result: CallResult) -> None:
        """Keep the upstream's answer for repeats of the key."""
        record.state = RunState.ANSWERED
        record.result = result
        self._kept[record.key] = record
        self._kept_size += len(result.body)
        while self._kept_size > self._kept_bytes and self._kept:
            _, oldest = self._kept.popitem(last=False)
            self._forget_answer(oldest)

    def lose(self, record: RunRecord) -> None:
        """Take note that the upstream's connection broke during the run."""
        if record.state is RunState.HANDED_OVER:
            record.state = RunState.LOST

    def fence(self, key: str, ticket: Ticket) -> FenceVerdict:
        """Refuse a key from now on, if it has not been handed over."""
        self._turn_epoch()
        records = self._records(ticket)
        if records is None:
            return FenceVerdict.UNKNOWN
        record = records.get(key)
        if record is None:
            if len(records) >= 2 * self._epoch_keys:
                return FenceVerdict.UNKNOWN
            record = RunRecord(key, "", 0, RunState.FENCED)
            records[key] = record
        if record.state in (RunState.FENCED, RunState.WAITING):
            record.state = RunState.FENCED
            return FenceVerdict.NOT_RUN
        return FenceVerdict.HANDED_OVER

    def _records(self, ticket: Ticket) -> dict[str, RunRecord] | None:
        if ticket.instance != self._instance or ticket.boot != self._boot:
            return None
        return self._epochs.get(ticket.epoch)

    def _repeat(self, record: RunRecord) -> Verdict:
        if record.state is RunState.FENCED:
            return RefuseKey(Outcome.NOT_RUN, Reason.FENCED)
        if record.state is RunState.LOST:
            return RefuseKey(Outcome.UNKNOWN, Reason.UPSTREAM_DOWN)
        if record.state is RunState.ANSWERED:
            if record.result is None:
                return RefuseKey(Outcome.UNKNOWN, Reason.ANSWER_DROPPED)
            return AlreadyAnswered(record.result)
        return JoinRunning(record)

    def _turn_epoch(self) -> None:
        now = self._clock.now()
        age = now - self._epoch_began
        full = len(self._epochs[self._epoch]) >= self._epoch_keys
        if age < self._epoch_seconds and not full:
            return
        self._epoch += 1
        self._epoch_began = now
        self._epochs[self._epoch] = {}
        while len(self._epochs) > _EPOCHS_KEPT:
            _, dropped = self._epochs.popitem(last=False)
            for key in dropped:
                record = self._kept.pop(key, None)
                if record is not None:
                    self._forget_answer(record)

    def _forget_answer(self, record: RunRecord) -> None:
        if record.result is not None:
            self._kept_size -= len(record.result.body)
            record.result = None
