"""Safeguards taken out on purpose: the matrix must notice each."""

from dataclasses import dataclass

from rattanfork_core.account import Account
from rattanfork_core.admission import AdmissionController
from rattanfork_core.atmostonce import ConnectionLedger, RunLedger
from rattanfork_core.atmostonce.record import RunState
from rattanfork_core.request import FenceVerdict, RequestStateMachine

from rattanfork_testkit.matrix.world import Parts


class _RunsEveryCopy(RunLedger):
    """Forgets that a key was handed over."""

    def hand_over(self, record):
        return record.state is not RunState.FENCED

    def arrive(self, key, ticket, caller, digest):
        records = self._records(ticket)
        if records is not None:
            records.pop(key, None)
        return super().arrive(key, ticket, caller, digest)


class _AnyIncarnation(RunLedger):
    """Takes keys of other incarnations."""

    def _records(self, ticket):
        return self._epochs[self._epoch]


class _FenceIsForgotten(RunLedger):
    """Answers a fence without keeping it."""

    def fence(self, key, ticket):
        verdict = super().fence(key, ticket)
        records = self._records(ticket)
        if records is not None and verdict is FenceVerdict.NOT_RUN:
            record = records.pop(key)
            record.state = RunState.WAITING
        return verdict


class _RefusalLeavesKeyOpen(RunLedger):
    """Refuses without closing the key."""

    def refuse(self, record):
        records = self._epochs[self._epoch]
        records.pop(record.key, None)
        return True


class _OpenConnection(ConnectionLedger):
    """Answers a fence and lets the connection's calls run after it."""

    def hand_over(self, number):
        self._handed[number] = None
        return True


class _BelievesLostIsNotRun(RequestStateMachine):
    """Takes a lost connection for a proof."""

    def on_connection_lost(self, number):
        attempt = self._attempts[number - 1]
        if self._finished or attempt.state.name != "SENT":
            return []
        attempt.state = type(attempt.state).FENCING
        return self.on_fence_verdict(number, FenceVerdict.NOT_RUN)


class _EndlessAttempts(Account):
    """Mints attempts."""

    def spend(self):
        return True

    @property
    def attempts(self):
        return 5


class _NeverLeaves(AdmissionController):
    """Goes on taking work."""

    def drain(self):
        return []


@dataclass(frozen=True, slots=True)
class Break:
    """A safeguard taken out, and the promise that then fails."""

    name: str
    parts: Parts
    promise: str


BREAKS = (
    Break("keys run for every copy", Parts(ledger=_RunsEveryCopy), "ran twice"),
    Break("any incarnation runs a key", Parts(ledger=_AnyIncarnation), "ran twice"),
    Break("a key's fence is forgotten", Parts(ledger=_FenceIsForgotten), "not run"),
    Break("a refusal leaves the key open", Parts(ledger=_RefusalLeavesKeyOpen), "run"),
    Break("a connection's fence is ignored", Parts(connection=_OpenConnection), "run"),
    Break("lost is taken for not run", Parts(machine=_BelievesLostIsNotRun), "run"),
    Break("attempts are minted", Parts(account=_EndlessAttempts), "more attempts"),
    Break("leaving is ignored", Parts(admission=_NeverLeaves), "leaving"),
    Break(
        "answers are paired by number only",
        Parts(matches_connection=False),
        "another caller's answer",
    ),
)
