"""Reads and changes the accepted rules in the platform's table."""

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

_MEAN_RETRY_DELAY_S = 0.3


class RulesStore:
    """Reads past revisions of the rules, and commits new ones.

    Parameters
    ==========

    platform : Platform
        Client of the platform whose table holds the rules.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._random = Random()

    async def head(self) -> tuple[int, RulesRecord]:
        """Return the version of the head row and the accepted revision.

        Raises
        ======

        PlatformDownError
            If the table does not respond.
        """
        row = await self._platform.read(HEAD_KEY)
        if not row.version:
            return 0, RulesRecord(0, "", "", "", "rules: []\n")
        head = RulesRecord.from_row(row.value)
        record = await self.revision(head.revision)
        return row.version, record or head

    async def revision(self, number: int) -> RulesRecord | None:
        """Return a past revision, or None if it does not exist."""
        row = await self._platform.read(history_key(number))
        return RulesRecord.from_row(row.value) if row.version else None

    async def change(
        self,
        edit: Callable[[RulesRecord], str],
        author: str,
        comment: str,
        expected: int | None = None,
    ) -> Result[RulesRecord, CommitOutcome]:
        """Commit the result of applying ``edit`` to the accepted rules.

        Parameters
        ==========

        edit : callable
            Returns the new text of the rules for the accepted revision.
        expected : int or None
            Revision that the change is based on; if another one is accepted,
            the result is a conflict.
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
                    record = RulesRecord.from_row(row.value) if row.version else None
                    step = machine.on_row(record)
                else:
                    checks = {HEAD_KEY: step.head_version}
                    committed = await self._platform.transact(checks, step.writes)
                    step = machine.on_committed() if committed else machine.on_refused()
            except PlatformDownError:
                await asyncio.sleep(
                    _MEAN_RETRY_DELAY_S * self._random.uniform(0.5, 1.5)
                )
                step = machine.on_no_answer()
        return step
