"""Decisions of the key registry on a request with an idempotency key."""

from dataclasses import dataclass

from rattanfork_core.idempotency.record import RunRecord
from rattanfork_core.request.outcome import Outcome, Reason
from rattanfork_core.request.result import CallResult


@dataclass(frozen=True, slots=True)
class RunNow:
    """The key is new: run the request."""

    record: RunRecord


@dataclass(frozen=True, slots=True)
class JoinRunning:
    """A request with the key is running: wait for its response."""

    record: RunRecord


@dataclass(frozen=True, slots=True)
class AlreadyAnswered:
    """The request has run: return the stored response."""

    result: CallResult


@dataclass(frozen=True, slots=True)
class RefuseKey:
    """The request is refused, with an outcome and reason for its caller."""

    outcome: Outcome
    reason: Reason
