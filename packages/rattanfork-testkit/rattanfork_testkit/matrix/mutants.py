"""Mutants of the product, each without one safeguard; the matrix detects each."""

from dataclasses import dataclass

from rattanfork_core.admission import AdmissionController
from rattanfork_core.budgets import RequestBudget
from rattanfork_core.idempotency import ConnectionCallLog, KeyRegistry
from rattanfork_core.idempotency.record import RunState
from rattanfork_core.request import FenceVerdict, RequestStateMachine

from rattanfork_testkit.matrix.simulation import Components


class _RunsDuplicates(KeyRegistry):
    """Runs a key again for each copy of its request."""

    def hand_over(self, record):
        return record.state is not RunState.FENCED

    def on_request(self, key, ticket, caller, digest):
        records = self._records(ticket)
        if records is not None:
            records.pop(key, None)
        return super().on_request(key, ticket, caller, digest)


class _AcceptsAnyIncarnation(KeyRegistry):
    """Accepts keys issued by other incarnations of the node."""

    def _records(self, ticket):
        return self._epochs[self._epoch]


class _ForgetsKeyFence(KeyRegistry):
    """Answers "not run" to a fence without recording the fence."""

    def fence(self, key, ticket):
        verdict = super().fence(key, ticket)
        records = self._records(ticket)
        if records is not None and verdict is FenceVerdict.NOT_RUN:
            record = records.pop(key)
            record.state = RunState.WAITING
        return verdict


class _KeepsRefusedKeyOpen(KeyRegistry):
    """Refuses a request without closing its key, so that a late copy still runs."""

    def refuse(self, record):
        records = self._epochs[self._epoch]
        records.pop(record.key, None)
        return True


class _IgnoresConnectionFence(ConnectionCallLog):
    """Runs calls of a connection that was fenced."""

    def hand_over(self, number):
        self._handed_over[number] = None
        return True


class _TreatsLostAsNotRun(RequestStateMachine):
    """Treats a lost connection as proof that the call did not run."""

    def on_connection_lost(self, number):
        attempt = self._attempts[number - 1]
        if self._finished or attempt.state.name != "SENT":
            return []
        attempt.state = type(attempt.state).FENCING
        return self.on_fence_verdict(number, FenceVerdict.NOT_RUN)


class _UnlimitedRetries(RequestBudget):
    """Grants every attempt, regardless of the budget."""

    def spend(self):
        return True

    @property
    def attempts(self):
        return 5


class _IgnoresDrain(AdmissionController):
    """Admits new requests while the node drains."""

    def drain(self):
        return []


@dataclass(frozen=True, slots=True)
class Mutant:
    """A removed safeguard, and a part of the violation that must be reported."""

    name: str
    components: Components
    violation: str


MUTANTS = (
    Mutant(
        "duplicates of a key run", Components(key_registry=_RunsDuplicates), "ran twice"
    ),
    Mutant(
        "any incarnation runs a key",
        Components(key_registry=_AcceptsAnyIncarnation),
        "ran twice",
    ),
    Mutant(
        "fence of a key is not recorded",
        Components(key_registry=_ForgetsKeyFence),
        "not run",
    ),
    Mutant(
        "refused key stays open", Components(key_registry=_KeepsRefusedKeyOpen), "run"
    ),
    Mutant(
        "fence of a connection is ignored",
        Components(call_log=_IgnoresConnectionFence),
        "run",
    ),
    Mutant(
        "lost connection counts as not run",
        Components(machine=_TreatsLostAsNotRun),
        "run",
    ),
    Mutant(
        "retry budget is ignored",
        Components(account=_UnlimitedRetries),
        "more attempts",
    ),
    Mutant("drain is ignored", Components(admission=_IgnoresDrain), "leaving"),
    Mutant(
        "replies are matched by call number only",
        Components(matches_connection=False),
        "answer of another caller",
    ),
)
