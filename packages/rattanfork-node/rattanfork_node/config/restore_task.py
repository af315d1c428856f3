"""Writes anew what a store has lost that came back from an older copy."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import islice
from random import Random

from rattanfork_core.membership import Member, Membership, RoleAssignment
from rattanfork_core.revision import RevisionState, RulesRecord, TryCommit
from rattanfork_core.revision.record import HEAD_KEY
from rattanfork_platform import PlatformDownError, WatchedPlatform

from rattanfork_node.member.records import TABLE, lost_records, record_key
from rattanfork_node.telemetry import Counters, log_change

#: Seconds between two looks at the era.
_LOOK = 0.25
#: Readers that write, and seconds between one and the next: what the first has
#: written the others find.
_MOST_WRITERS = 3
_TURN = 0.8
#: Seconds between tries while the store does not answer: first and longest.
_FIRST_PAUSE = 0.2
_LONGEST_PAUSE = 2.0
#: Records in one transaction; each counts twice, with its condition.
_MOST_RECORDS = 50


class RestoreTask:
    """Writes anew what a store has lost that came back from an older copy.

    Explanation
    ===========

    What the operator and the upstreams wrote is written again by them.  The records of
    nodes, the accepted rules and the quarantine were written by nodes; whoever wrote
    them may not speak to the store for hours, so a few readers do it for all, from
    what they hold.  Conditions keep them from overwriting what is newer.

    Parameters
    ==========

    random : Random
        Source of jitter.
    platform : WatchedPlatform
        The store.
    roster : RoleAssignment
        Who reads the store in turn.
    membership : Membership
        Who is there.
    rules : RevisionState
        The rules in force.
    persist_quarantine : callable
        Writes what is quarantined; awaited.
    counters : Counters
        What happened.
    """

    def __init__(
        self,
        random: Random,
        platform: WatchedPlatform,
        roster: RoleAssignment,
        membership: Membership,
        rules: RevisionState,
        persist_quarantine: Callable[[], Awaitable[None]],
        counters: Counters,
    ) -> None:
        self._random = random
        self._platform = platform
        self._roster = roster
        self._membership = membership
        self._rules = rules
        self._persist_quarantine = persist_quarantine
        self._counters = counters
        self._era = 0
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin."""
        self._task = asyncio.ensure_future(self._run())

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_LOOK)
            before, self._era = self._era, self._platform.era
            if before and self._era != before:
                self._counters.events["store.restored"] += 1
                await self._restore()

    async def _restore(self) -> None:
        names = self._roster.names
        me = self._membership.me.name
        if me not in names[:_MOST_WRITERS]:
            return
        era = self._era
        await asyncio.sleep(names.index(me) * _TURN)
        pause = _FIRST_PAUSE
        while self._platform.era == era:
            try:
                # First: if all nodes end now, nothing else protects the upstreams.
                await self._persist_quarantine()
                members = await self._write_records()
                rules = await self._write_rules()
            except PlatformDownError:
                await asyncio.sleep(pause * self._random.uniform(0.7, 1.3))
                pause = min(_LONGEST_PAUSE, 2 * pause)
                continue
            log_change("store_rewritten", era=era, members=members, rules=rules)
            return

    async def _write_records(self) -> int:
        """Write the records that are lost; return how many there were.

        Raises
        ======

        PlatformDownError
            If it has to be done once more.
        """
        found = await self._platform.scan(TABLE)
        lost = iter(lost_records(found.rows, self._membership.present()))
        written = 0
        while batch := list(islice(lost, _MOST_RECORDS)):
            checks = {record_key(m.instance): _version(found.rows, m) for m in batch}
            writes = {record_key(m.instance): list(m) for m in batch}
            if not await self._platform.transact(checks, writes):
                raise PlatformDownError("a record was written meanwhile")
            written += len(batch)
        return written

    async def _write_rules(self) -> bool:
        """Write the rules in force if the store has older ones."""
        held = self._rules.record
        if not held.order:
            return False
        row = await self._platform.read(HEAD_KEY)
        if row.version and _order_of(row.value) >= held.order:
            return False
        commit = TryCommit(row.version, held)
        return await self._platform.transact({HEAD_KEY: row.version}, commit.writes)


def _version(rows: dict, member: Member) -> int:
    row = rows.get(member.instance)
    return 0 if row is None else row.version


def _order_of(value: object) -> int:
    try:
        return RulesRecord.from_row(value).order
    except ValueError:
        # Written by somebody else; the accepted rules take its place.
        return -1
