"""Tests of the repair of a store restored from an older backup."""

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random

import orjson
from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import (
    Membership,
    MemberStatus,
    RoleAssignment,
    role_holders,
)
from rattanfork_core.revision import RevisionState, RulesRecord
from rattanfork_core.revision.record import HEAD_KEY
from rattanfork_platform import Row, Rows

from rattanfork_node.config import restore_task
from rattanfork_node.config.restore_task import RestoreTask
from rattanfork_node.config.tests.fakes import FakePlatform, member, wait_until
from rattanfork_node.member.records import missing_records
from rattanfork_node.relay.tests.fakes import on_loop
from rattanfork_node.telemetry import Counters

TEXT = "rules: [{name: a, then: {importance: high}}]"


class RestoredPlatform(FakePlatform):
    """Store with row versions, conditional writes and a changing era."""

    def __init__(self) -> None:
        super().__init__()
        self.current_era = 1
        self.rows: dict[str, tuple[int, object]] = {}
        self.before_write: Callable[[], None] = lambda: None

    @property
    def era(self) -> int:
        return self.current_era

    async def read(self, key: str) -> Row:
        self._call("read")
        return Row(*self.rows.get(key, (0, None)))

    async def transact(self, checks, writes) -> bool:
        self._call("transact")
        self.before_write()
        if any(self.rows.get(k, (0, None))[0] != v for k, v in checks.items()):
            return False
        for key, value in writes.items():
            self.write(key, value)
        return True

    async def scan(self, table: str, key: str = "") -> Rows:
        self._call("scan")
        found = {
            key.partition("/")[2]: Row(version, orjson.dumps(value))
            for key, (version, value) in self.rows.items()
            if key.startswith(f"{table}/")
        }
        return Rows(found, self.version)

    def write(self, key: str, value: object) -> None:
        self.version += 1
        self.rows[key] = (self.version, value)


class Harness:
    """One reader of the store, with a view of other members."""

    def __init__(
        self,
        others: int = 3,
        turn: int = 0,
        readers: int = 99,
        platform: RestoredPlatform | None = None,
    ) -> None:
        members = [member(f"n{number}") for number in range(others + 1)]
        holders = role_holders([m.name for m in members], "confirmation", readers)
        me = next(m for m in members if m.name == holders[turn])
        self.platform = platform or RestoredPlatform()
        self.membership = Membership(ManualClock(), Random(1), me)
        self.membership.merge(m for m in members if m is not me)
        self.rules = RevisionState()
        self.quarantine_writes = 0
        #: Calls to the store before the first write of the quarantine.
        self.calls_before_quarantine: list[str] = []
        self.counters = Counters()
        self.task = RestoreTask(
            Random(1),
            self.platform,
            RoleAssignment(self.membership, "confirmation", readers),
            self.membership,
            self.rules,
            (self.persist_quarantine,),
            self.counters,
        )

    async def persist_quarantine(self) -> None:
        if not self.quarantine_writes:
            self.calls_before_quarantine = list(self.platform.calls)
        if self.platform.down:
            self.platform._call("persist_quarantine")
        self.quarantine_writes += 1

    async def restore(self) -> None:
        """Start the task, then begin a new era of the store."""
        self.task.start()
        await asyncio.sleep(0.05)
        self.platform.current_era += 1


def with_short_delays(test):
    """Run a test on an event loop with short delays."""

    def run(monkeypatch):
        monkeypatch.setattr(restore_task, "sleep_ticks", lambda _: asyncio.sleep(0.01))
        monkeypatch.setattr(restore_task, "_WRITER_STAGGER_S", 0.01)
        monkeypatch.setattr(restore_task, "_MIN_RETRY_DELAY_S", 0.01)
        on_loop(test)()

    return run


def test_absent_outdated_and_malformed_records_are_missing():
    stored, older, newer, absent = (member(n) for n in ("a", "b", "c", "d"))
    dead = member("e").replace(status=MemberStatus.DEAD)
    rows = {
        "a": Row(1, orjson.dumps(list(stored))),
        "b": Row(2, orjson.dumps(list(older.replace(boot="a")))),
        "c": Row(3, orjson.dumps(list(newer.replace(boot="z")))),
        "f": Row(4, b"none of ours"),
    }
    present = [stored, older, newer, absent, dead, member("f")]
    assert [m.instance for m in missing_records(rows, present)] == ["b", "d", "f"]


@with_short_delays
async def test_unchanged_era_causes_no_calls():
    harness = Harness()
    harness.task.start()
    await asyncio.sleep(0.1)
    assert harness.platform.calls == []


@with_short_delays
async def test_quarantine_is_written_first():
    """Guards against losing the quarantine if all nodes terminate meanwhile."""
    harness = Harness(others=5)
    await harness.restore()
    await wait_until(lambda: harness.platform.rows)
    assert harness.quarantine_writes == 1
    assert harness.calls_before_quarantine == []


@with_short_delays
async def test_early_reader_writes_all_missing_records():
    """Guards against hundreds of nodes that write at the same time."""
    harness = Harness(others=200)
    await harness.restore()
    await wait_until(lambda: len(harness.platform.rows) == 201)
    assert harness.platform.calls.count("transact") == 5


@with_short_delays
async def test_restore_with_300_nodes_takes_few_calls():
    """Guards against store load that grows with the fleet."""
    platform = RestoredPlatform()
    harnesses = [
        Harness(others=299, turn=n, readers=20, platform=platform) for n in range(20)
    ]
    for harness in harnesses:
        harness.rules.receive_from_store(RulesRecord(2, "op2", "ann", "", TEXT, era=1))
        harness.task.start()
    await asyncio.sleep(0.05)
    platform.current_era += 1
    await wait_until(
        lambda: sum(harness.quarantine_writes for harness in harnesses) == 3
    )
    assert len(platform.rows) == 302
    # One scan and one read by each writer; the first writes what is missing.
    assert Counter(platform.calls) == {"scan": 3, "read": 3, "transact": 6 + 1}


@with_short_delays
async def test_later_reader_makes_no_calls():
    harness = Harness(others=200, turn=3)
    await harness.restore()
    await asyncio.sleep(0.2)
    assert harness.platform.calls == []


@with_short_delays
async def test_concurrently_written_record_is_not_overwritten():
    """Guards against restoring the record of a replaced process."""
    harness = Harness(others=1)
    me = harness.membership.me
    [other] = [m for m in harness.membership.present() if m is not me]
    newer = list(other.replace(boot="zz"))

    def write_newer() -> None:
        harness.platform.before_write = lambda: None
        harness.platform.write(f"members/{other.instance}", newer)

    harness.platform.before_write = write_newer
    await harness.restore()
    await wait_until(lambda: f"members/{me.instance}" in harness.platform.rows)
    assert harness.platform.rows[f"members/{other.instance}"][1] == newer


@with_short_delays
async def test_repair_is_retried_until_the_store_answers():
    harness = Harness()
    harness.platform.down = True
    await harness.restore()
    await wait_until(lambda: len(harness.platform.calls) > 2)
    harness.platform.down = False
    await wait_until(lambda: len(harness.platform.rows) == 4)
    await wait_until(lambda: harness.quarantine_writes == 1)


@with_short_delays
async def test_second_restore_during_a_repair_is_repaired():
    harness = Harness()
    harness.platform.down = True
    await harness.restore()
    await wait_until(lambda: len(harness.platform.calls) > 2)
    harness.platform.current_era += 1
    harness.platform.down = False
    await wait_until(lambda: len(harness.platform.rows) == 4)
    assert harness.quarantine_writes == 1
    assert harness.counters.events["store.restored"] == 2


@with_short_delays
async def test_rules_in_force_replace_older_stored_rules():
    harness = Harness()
    harness.rules.receive_from_store(RulesRecord(2, "op2", "ann", "", TEXT, era=1))
    harness.platform.write(HEAD_KEY, RulesRecord(1, "op1", "ann", "", "", 1).as_row())
    await harness.restore()
    await wait_until(lambda: "rules/history/00000002" in harness.platform.rows)
    head = RulesRecord.from_row(harness.platform.rows[HEAD_KEY][1])
    assert (head.revision, head.operation, head.text) == (2, "op2", "")


@with_short_delays
async def test_rules_accepted_after_the_restore_are_kept():
    """Guards against losing an accepted change.

    Its revision is lower than the one in force, but its era is newer.
    """
    harness = Harness()
    harness.rules.receive_from_store(RulesRecord(7, "op7", "ann", "", TEXT, era=1))
    accepted = RulesRecord(5, "op5", "ann", "", "", era=2).as_row()
    harness.platform.write(HEAD_KEY, accepted)
    await harness.restore()
    await wait_until(lambda: harness.quarantine_writes == 1)
    assert harness.platform.rows[HEAD_KEY][1] == accepted
