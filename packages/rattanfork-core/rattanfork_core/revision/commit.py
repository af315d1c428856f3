"""Commit of a new revision of the rules to the store's table."""

from dataclasses import dataclass
from enum import IntEnum

from rattanfork_core.revision.record import HEAD_KEY, RulesRecord, history_key


class CommitStatus(IntEnum):
    """Status of a commit that has ended."""

    ACCEPTED = 0
    CONFLICT = 1
    #: The table does not reply: the change may or may not have been accepted.
    UNKNOWN = 2


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Step: read a row of the table."""

    key: str


@dataclass(frozen=True, slots=True)
class TryCommit:
    """Step: write head and history row in one transaction.

    The transaction is refused unless the head row has version ``head_version``.
    """

    head_version: int
    record: RulesRecord

    @property
    def writes(self) -> dict[str, dict[str, object]]:
        """Rows to write, by key.

        The head row has an empty text, as it is read several times a second.
        """
        row = self.record.as_row()
        head = {**row, "text": ""}
        return {HEAD_KEY: head, history_key(self.record.revision): row}


@dataclass(frozen=True, slots=True)
class CommitOutcome:
    """Result of a commit, and the revision in the history row that decided it.

    ``record`` is this change if it was accepted, the other operator's in a
    conflict, and None if the result is unknown or the row was not found.
    """

    status: CommitStatus
    record: RulesRecord | None


#: What the caller has to do next, or the result.
CommitStep = ReadRow | TryCommit | CommitOutcome


class CommitMachine:
    """State machine that commits one change and establishes the result.

    Explanation
    ===========

    The change is one transaction, conditional on the version of the head row.
    A reply may be lost after the write took effect, and a write may take effect
    late, so an absent row proves nothing.  The machine therefore repeats the same
    transaction.  It is either committed, or refused because the head row has a
    newer version; then the operation ID in the history row of this revision shows
    whose change was accepted.

    This class does no I/O: methods return the next step or the result.

    Parameters
    ==========

    record : RulesRecord
        The change; its revision is one more than the one it was made from.
    head_version : int
        Version of the head row that the change was made from.
    tries : int
        Steps without a reply, over the whole commit, after which the result is
        unknown.

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
        self._attempts_left = tries
        self._step: CommitStep = TryCommit(head_version, record)

    def start(self) -> CommitStep:
        """Return the first step."""
        return self._step

    def on_committed(self) -> CommitStep:
        """Handle a transaction that was committed."""
        return CommitOutcome(CommitStatus.ACCEPTED, self._record)

    def on_refused(self) -> CommitStep:
        """Handle a transaction that was refused because of the head row's version."""
        self._step = ReadRow(history_key(self._record.revision))
        return self._step

    def on_no_answer(self) -> CommitStep:
        """Handle a step to which the table did not reply."""
        self._attempts_left -= 1
        if self._attempts_left <= 0:
            return CommitOutcome(CommitStatus.UNKNOWN, None)
        return self._step

    def on_row(self, found: RulesRecord | None) -> CommitStep:
        """Handle the history row of this revision; None if there is none."""
        if found is not None and found.operation == self._record.operation:
            return CommitOutcome(CommitStatus.ACCEPTED, found)
        return CommitOutcome(CommitStatus.CONFLICT, found)
