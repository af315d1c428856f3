"""The commit of a change of rules."""

from dataclasses import dataclass
from enum import IntEnum

from rattanfork_core.revision.record import HEAD_KEY, RulesRecord, history_key


class CommitStatus(IntEnum):
    """How a commit ended."""

    ACCEPTED = 0
    CONFLICT = 1
    #: The table does not answer: the change may or may not be accepted.
    UNKNOWN = 2


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read a row of the table."""

    key: str


@dataclass(frozen=True, slots=True)
class TryCommit:
    """Write both rows in one transaction if the head has a given version."""

    head_version: int
    record: RulesRecord

    @property
    def writes(self) -> dict[str, dict[str, object]]:
        """The rows to write.

        The head is read several times a second and has no text.
        """
        row = self.record.as_row()
        head = {**row, "text": ""}
        return {HEAD_KEY: head, history_key(self.record.revision): row}


@dataclass(frozen=True, slots=True)
class CommitOutcome:
    """How a commit ended, and the revision that decided it."""

    status: CommitStatus
    record: RulesRecord | None


CommitStep = ReadRow | TryCommit | CommitOutcome


class CommitMachine:
    """Brings one change to an end that is certain.

    Explanation
    ===========

    The change is one transaction that compares the version of the head row.
    An answer may be lost after the write took effect, and a write may take
    effect late, so an absent row proves nothing.  The machine therefore
    sends the same transaction again: it either commits, or is refused
    because the head has moved on, and then the history row of this revision
    tells by its operation ID whose change it was.

    Parameters
    ==========

    record : RulesRecord
        The change; its revision is one more than the one it was made from.
    head_version : int
        Version of the head row that the change was made from.
    tries : int
        How often an unanswered step is repeated.

    Examples
    ========

    >>> record = RulesRecord(1, "op1", "ann", "", "rules: []")
    >>> machine = CommitMachine(record, head_version=0)
    >>> machine.start() == TryCommit(0, record)
    True
    >>> machine.on_no_answer() == TryCommit(0, record)
    True
    >>> machine.on_refused()
    ReadRow(key='rules/history/00000001')
    >>> machine.on_row(record).status
    <CommitStatus.ACCEPTED: 0>
    """

    def __init__(self, record: RulesRecord, head_version: int, tries: int = 5) -> None:
        self._record = record
        self._head_version = head_version
        self._tries = tries
        self._step: CommitStep = TryCommit(head_version, record)

    def start(self) -> CommitStep:
        """Return the first step."""
        return self._step

    def on_committed(self) -> CommitStep:
        """Take note that the transaction took effect."""
        return CommitOutcome(CommitStatus.ACCEPTED, self._record)

    def on_refused(self) -> CommitStep:
        """Take note that the head has another version."""
        self._step = ReadRow(history_key(self._record.revision))
        return self._step

    def on_no_answer(self) -> CommitStep:
        """Take note that the table did not answer."""
        self._tries -= 1
        if self._tries <= 0:
            return CommitOutcome(CommitStatus.UNKNOWN, None)
        return self._step

    def on_row(self, found: RulesRecord | None) -> CommitStep:
        """Take in the history row of this revision."""
        if found is not None and found.operation == self._record.operation:
            return CommitOutcome(CommitStatus.ACCEPTED, found)
        return CommitOutcome(CommitStatus.CONFLICT, found)
