"""What the ledger says of a key that arrives."""

from dataclasses import dataclass

from rattanfork_core.idempotency.record import RunRecord
from rattanfork_core.request.outcome import Outcome, Reason
from rattanfork_core.request.result import CallResult


@dataclass(frozen=True, slots=True)
class RunNow:
    """The key is new: run it."""

    record: RunRecord


@dataclass(frozen=True, slots=True)
class JoinRunning:
    """The key is running: wait for its answer."""

    record: RunRecord


@dataclass(frozen=True, slots=True)
class AlreadyAnswered:
    """The key has run: give the first answer."""

    result: CallResult


@dataclass(frozen=True, slots=True)
class RefuseKey:
    """The key is not run by this arrival."""

    outcome: Outcome
    reason: Reason
