"""The accepted rules in the platform's table, as operators change them."""

import asyncio
import uuid
from collections.abc import Callable
from random import Random

from rattanfork_core.revision import (
    CommitMachine,
    CommitOutcome,
    CommitStatus,
    ReadRow,
    RulesRecord,
)
from rattanfork_core.revision.record import HEAD_KEY, history_key
from rattanfork_platform import Platform, PlatformDownError
from returns.result import Failure, Result, Success

_PAUSE = 0.3


class RulesStore:
    """Reads and commits revisions.

    Parameters
    ==========

    platform : Platform
        The table.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._random = Random()

    async def head(self) -> tuple[int, RulesRecord]:
        """Return the version of the head row and the accepted revision.

        Raises
        ======

        PlatformDownError
            If the table does not answer.
        """
        row = await self._platform.read(HEAD_KEY)
        if not row.version:
            return 0, RulesRecord(0, "", "", "", "rules: []\n")
        head = RulesRecord.from_row(row.value)
        record = await self.revision(head.revision)
        return row.version, record or head

    async def revision(self, number: int) -> RulesRecord | None:
        """Return a past revision, or None."""
        row = await self._platform.read(history_key(number))
        return RulesRecord.from_row(row.value) if row.version else None

    async def change(
        self,
        edit: Callable[[RulesRecord], str],
        author: str,
        comment: str,
        expected: int | None = None,
    ) -> Result[RulesRecord, CommitOutcome]:
        """Commit what ``edit`` makes of the accepted text.

        Parameters
        ==========

        expected : int or None
            The revision that the change was made from; another one in force
            is a conflict.
        """
        version, head = await self.head()
        if expected is not None and head.revision != expected:
            return Failure(CommitOutcome(CommitStatus.CONFLICT, head))
        record = RulesRecord(
            head.revision + 1,
            uuid.uuid4().hex,
            author,
            comment,
            edit(head),
            max(head.era, self._platform.era),
        )
        outcome = await self._commit(CommitMachine(record, version))
        if outcome.status is CommitStatus.ACCEPTED:
            return Success(record)
        return Failure(outcome)

    async def _commit(self, machine: CommitMachine) -> CommitOutcome:
        step = machine.start()
        while not isinstance(step, CommitOutcome):
            try:
                if isinstance(step, ReadRow):
                    row = await self._platform.read(step.key)
                    found = RulesRecord.from_row(row.value) if row.version else None
                    step = machine.on_row(found)
                else:
                    checks = {HEAD_KEY: step.head_version}
                    done = await self._platform.transact(checks, step.writes)
                    step = machine.on_committed() if done else machine.on_refused()
            except PlatformDownError:
                await asyncio.sleep(_PAUSE * self._random.uniform(0.5, 1.5))
                step = machine.on_no_answer()
        return step
