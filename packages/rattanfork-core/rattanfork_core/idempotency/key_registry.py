"""State of the idempotency keys of one upstream instance."""

from collections import OrderedDict

from rattanfork_core.clock import Clock
from rattanfork_core.idempotency.record import RunRecord, RunState
from rattanfork_core.idempotency.ticket import Ticket
from rattanfork_core.idempotency.verdicts import (
    AlreadyAnswered,
    JoinRunning,
    RefuseKey,
    RunNow,
)
from rattanfork_core.request.outcome import Outcome, Reason
from rattanfork_core.request.result import CallResult, FenceVerdict

Verdict = RunNow | JoinRunning | AlreadyAnswered | RefuseKey

_EPOCHS_KEPT = 2


class KeyRegistry:
    """Decides whether a request with a key runs, for one incarnation of a node.

    Explanation
    ===========

    An incarnation is one run of the node process, identified by its ``boot`` (and is
    not the incarnation number of SWIM).  A key names the only instance and incarnation
    that may run it, so where it may run does not depend on membership views, leases,
    the platform's table or clocks of other machines.  Within that incarnation this
    registry is the only authority.  It hands a key over at most once because it marks
    the key before the request is sent, and because it never evicts a key that it would
    still accept:

    - Keys are grouped in epochs, numbered by the node itself.  A key carries the
      epoch in which it was issued, and is accepted only while that epoch is kept.
      When an epoch is dropped, all its keys are refused, so a duplicate that is
      delayed for longer than the keys are kept cannot run a second time.
    - An epoch ends after a time on the node's own clock or a number of keys,
      whichever comes first, so memory is bounded at any request rate.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    instance, boot : str
        The instance, and the incarnation of its node.
    epoch_seconds : float
        Maximum duration of an epoch.
    epoch_keys : int
        Number of keys after which an epoch ends.
    kept_bytes : int
        Maximum size of the responses stored for replay.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> registry = KeyRegistry(ManualClock(), "claims-1", "b1")
    >>> ticket = Ticket("claims", "claims-1", "b1", registry.epoch, 7)
    >>> verdict = registry.on_request("k", ticket, "clerk", 99)
    >>> registry.hand_over(verdict.record)
    True
    >>> registry.fence("k", ticket)
    <FenceVerdict.HANDED_OVER: 1>
    >>> registry.on_request("k", ticket, "another", 99).reason
    <Reason.KEY_MISUSED: 15>

    See Also
    ========

    rattanfork_core.request.RequestStateMachine : sends the requests for fences.
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
        """The current epoch; new keys are issued in it."""
        return self._epoch

    @property
    def key_count(self) -> int:
        """Number of keys stored."""
        return sum(len(records) for records in self._epochs.values())

    @property
    def stored_answer_bytes(self) -> int:
        """Total body size of the stored responses."""
        return self._kept_size

    def on_request(self, key: str, ticket: Ticket, caller: str, digest: int) -> Verdict:
        """Return what to do with a request that carries a key.

        Parameters
        ==========

        key : str
            The key as the caller sent it.
        ticket : Ticket
            The parsed key.
        caller : str
            The caller that sent it.
        digest : int
            Hash of the request's method, path and body.
        """
        self._rotate_epoch()
        records = self._records(ticket)
        if records is None:
            # Whether it ran in an earlier incarnation or a dropped epoch is
            # unknown, but it will not run from now on.
            return RefuseKey(Outcome.UNKNOWN, Reason.KEY_EXPIRED)
        record = records.get(key)
        if record is None:
            if len(records) >= 2 * self._epoch_keys:
                # Keys are stored on first use, so many keys issued in one epoch
                # may arrive in a burst; the limit bounds memory.
                return RefuseKey(Outcome.UNKNOWN, Reason.KEY_EXPIRED)
            record = RunRecord(key, caller, digest)
            records[key] = record
            return RunNow(record)
        if record.state is not RunState.FENCED and (
            record.caller != caller or record.digest != digest
        ):
            # The stored response must not reach another caller, and a used key
            # must not run a different request.
            return RefuseKey(Outcome.NOT_RUN, Reason.KEY_MISUSED)
        return self._on_duplicate(record)

    def hand_over(self, record: RunRecord) -> bool:
        """Mark a key as handed over to the upstream; return False if it must not run.

        Must be called immediately before the request is written.
        """
        if record.state is not RunState.WAITING:
            return False
        record.state = RunState.HANDED_OVER
        return True

    def refuse(self, record: RunRecord) -> bool:
        """Fence a key that was not handed over.

        Returns whether the key is now known not to have run, and never to run.
        """
        if record.state is RunState.WAITING:
            # A delayed duplicate of the request may still arrive.  If the key
            # were not fenced, it would run after its caller received "not run".
            record.state = RunState.FENCED
        return record.state is RunState.FENCED

    def cancel_hand_over(self, record: RunRecord) -> None:
        """Fence a key whose hand-over is known not to have taken place."""
        if record.state is RunState.HANDED_OVER:
            record.state = RunState.FENCED

    def store_answer(self, record: RunRecord, result: CallResult) -> None:
        """Store the upstream's response for duplicates of the request."""
        record.state = RunState.ANSWERED
        record.result = result
        self._kept[record.key] = record
        self._kept_size += len(result.body)
        while self._kept_size > self._kept_bytes and self._kept:
            _, oldest = self._kept.popitem(last=False)
            self._drop_answer(oldest)

    def on_connection_lost(self, record: RunRecord) -> None:
        """Record that the connection to the upstream was lost before its response."""
        if record.state is RunState.HANDED_OVER:
            record.state = RunState.LOST

    def fence(self, key: str, ticket: Ticket) -> FenceVerdict:
        """Refuse a key from now on; return whether it had been handed over."""
        self._rotate_epoch()
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

    def _on_duplicate(self, record: RunRecord) -> Verdict:
        if record.state is RunState.FENCED:
            return RefuseKey(Outcome.NOT_RUN, Reason.FENCED)
        if record.state is RunState.LOST:
            return RefuseKey(Outcome.UNKNOWN, Reason.UPSTREAM_DOWN)
        if record.state is RunState.ANSWERED:
            if record.result is None:
                return RefuseKey(Outcome.UNKNOWN, Reason.ANSWER_DROPPED)
            return AlreadyAnswered(record.result)
        return JoinRunning(record)

    def _rotate_epoch(self) -> None:
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
                    self._drop_answer(record)

    def _drop_answer(self, record: RunRecord) -> None:
        if record.result is not None:
            self._kept_size -= len(record.result.body)
            record.result = None
