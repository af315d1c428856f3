"""Repair of a store that was restored from an older backup."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import islice
from random import Random

from rattanfork_core.membership import Member, Membership, RoleAssignment
from rattanfork_core.revision import RevisionState, RulesRecord, TryCommit
from rattanfork_core.revision.record import HEAD_KEY
from rattanfork_platform import PlatformDownError, WatchedPlatform

from rattanfork_node.config.kept_task import keep_running
from rattanfork_node.member.records import MEMBERS_TABLE, missing_records, record_key
from rattanfork_node.telemetry import Counters, log_change
from rattanfork_node.ticks import sleep_ticks

#: Ticks between checks of the era of the store.
_ERA_CHECK_TICKS = 2
#: Readers that repair the store.
_MAX_WRITERS = 3
#: Delay between the starts of two readers, so that later ones find the writes of
#: earlier ones.
_WRITER_STAGGER_S = 0.8
#: Bounds of the exponential back-off while the store does not answer.
_MIN_RETRY_DELAY_S = 0.2
_MAX_RETRY_DELAY_S = 2.0
#: Records of one transaction; each counts as two operations, write and condition.
_MAX_RECORDS_PER_TRANSACTION = 50


class RestoreTask:
    """Rewrites the rows of nodes that a restored store has lost.

    Explanation
    ===========

    A store that is restored from a backup starts a new era.  The operator and
    the upstreams rewrite their own rows.  Member records, accepted rules, retirements
    and the quarantine were written by nodes, which may not contact the store again for
    hours, so a few readers rewrite them for all from their local state.
    Conditional writes keep them from overwriting newer rows.

    Parameters
    ==========

    random : Random
        Source of jitter.
    platform : WatchedPlatform
        The store.
    readers : RoleAssignment
        Readers; the first few rewrite the rows, one after the other.
    membership : Membership
        Membership view of this node.
    rules : RevisionState
        The rules in force.
    persist_first : tuple of callable
        Coroutine functions that write the retirements and the quarantine to the store.
    counters : Counters
        Event counters.
    """

    def __init__(
        self,
        random: Random,
        platform: WatchedPlatform,
        readers: RoleAssignment,
        membership: Membership,
        rules: RevisionState,
        persist_first: tuple[Callable[[], Awaitable[None]], ...],
        counters: Counters,
    ) -> None:
        self._random = random
        self._platform = platform
        self._readers = readers
        self._membership = membership
        self._rules = rules
        self._persist_first = persist_first
        self._counters = counters
        self._era = 0
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the background task."""
        self._task = keep_running(self._run, self._counters.events)

    def close(self) -> None:
        """Cancel the background task."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await sleep_ticks(_ERA_CHECK_TICKS)
            before, self._era = self._era, self._platform.era
            if before and self._era != before:
                self._counters.events["store.restored"] += 1
                await self._restore()

    async def _restore(self) -> None:
        names = self._readers.names
        me = self._membership.me.name
        if me not in names[:_MAX_WRITERS]:
            return
        era = self._era
        await asyncio.sleep(names.index(me) * _WRITER_STAGGER_S)
        delay = _MIN_RETRY_DELAY_S
        while self._platform.era == era:
            try:
                # These are written first: if all nodes terminate now, only the stored
                # copies protect the upstreams.
                for persist in self._persist_first:
                    await persist()
                members = await self._write_missing_records()
                rules = await self._write_rules()
            except PlatformDownError:
                await asyncio.sleep(delay * self._random.uniform(0.7, 1.3))
                delay = min(_MAX_RETRY_DELAY_S, 2 * delay)
                continue
            log_change("store_rewritten", era=era, members=members, rules=rules)
            return

    async def _write_missing_records(self) -> int:
        """Write the member records that the store lacks; return their number.

        Raises
        ======

        PlatformDownError
            If the store does not answer, or a row changed concurrently; retry.
        """
        found = await self._platform.scan(MEMBERS_TABLE)
        missing = iter(missing_records(found.rows, self._membership.present()))
        written = 0
        while batch := list(islice(missing, _MAX_RECORDS_PER_TRANSACTION)):
            checks = {
                record_key(m.instance): _row_version(found.rows, m) for m in batch
            }
            writes = {record_key(m.instance): list(m) for m in batch}
            if not await self._platform.transact(checks, writes):
                raise PlatformDownError("member records changed during the restore")
            written += len(batch)
        return written

    async def _write_rules(self) -> bool:
        """Write the rules in force if those of the store are older."""
        held = self._rules.record
        if not held.order:
            return False
        row = await self._platform.read(HEAD_KEY)
        if row.version and _order_of(row.value) >= held.order:
            return False
        commit = TryCommit(row.version, held)
        return await self._platform.transact({HEAD_KEY: row.version}, commit.writes)


def _row_version(rows: dict, member: Member) -> int:
    row = rows.get(member.instance)
    return 0 if row is None else row.version


def _order_of(value: object) -> int:
    try:
        return RulesRecord.from_row(value).order
    except ValueError:
        # Malformed row of another writer; the accepted rules replace it.
        return -1
