"""What readers write to a store that came back from an older copy."""

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
from rattanfork_node.config.tests.fakes import FakePlatform, member, until
from rattanfork_node.member.records import lost_records
from rattanfork_node.relay.tests.fakes import on_loop
from rattanfork_node.telemetry import Counters

TEXT = "rules: [{name: a, then: {importance: high}}]"


class RestoredPlatform(FakePlatform):
    """A store with versions of rows and conditions, that can be restored."""

    def __init__(self) -> None:
        super().__init__()
        self.present_era = 1
        self.rows: dict[str, tuple[int, object]] = {}
        self.before_write: Callable[[], None] = lambda: None

    @property
    def era(self) -> int:
        return self.present_era

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


class World:
    """A node that reads the store in turn, and others that it sees."""

    def __init__(
        self,
        others: int = 3,
        turn: int = 0,
        readers: int = 99,
        platform: RestoredPlatform | None = None,
    ) -> None:
        members = [member(f"n{number}") for number in range(others + 1)]
        turns = role_holders([m.name for m in members], "confirmation", readers)
        me = next(m for m in members if m.name == turns[turn])
        self.platform = platform or RestoredPlatform()
        self.membership = Membership(ManualClock(), Random(1), me)
        self.membership.merge(m for m in members if m is not me)
        self.rules = RevisionState()
        self.kept = 0
        #: Calls to the store that were made before the quarantine was kept.
        self.calls_before_kept: list[str] = []
        self.counters = Counters()
        self.task = RestoreTask(
            Random(1),
            self.platform,
            RoleAssignment(self.membership, "confirmation", readers),
            self.membership,
            self.rules,
            self.keep,
            self.counters,
        )

    async def keep(self) -> None:
        if not self.kept:
            self.calls_before_kept = list(self.platform.calls)
        if self.platform.down:
            self.platform._call("keep")
        self.kept += 1

    async def restore(self) -> None:
        """Let the node know the store, and then restore it."""
        self.task.start()
        await asyncio.sleep(0.05)
        self.platform.present_era += 1


def fast(test):
    """Run a test on a loop with short waits."""

    def run(monkeypatch):
        monkeypatch.setattr(restore_task, "_LOOK", 0.01)
        monkeypatch.setattr(restore_task, "_TURN", 0.01)
        monkeypatch.setattr(restore_task, "_FIRST_PAUSE", 0.01)
        on_loop(test)()

    return run


def test_members_without_a_record_or_with_an_older_one_are_lost():
    stored, older, newer, absent = (member(n) for n in ("a", "b", "c", "d"))
    dead = member("e").replace(status=MemberStatus.DEAD)
    rows = {
        "a": Row(1, orjson.dumps(list(stored))),
        "b": Row(2, orjson.dumps(list(older.replace(boot="a")))),
        "c": Row(3, orjson.dumps(list(newer.replace(boot="z")))),
        "f": Row(4, b"none of ours"),
    }
    present = [stored, older, newer, absent, dead, member("f")]
    assert [m.instance for m in lost_records(rows, present)] == ["b", "d", "f"]


@fast
async def test_nothing_is_written_without_a_restore():
    world = World()
    world.task.start()
    await asyncio.sleep(0.1)
    assert world.platform.calls == []


@fast
async def test_quarantine_is_written_before_anything_else():
    """Guards against nodes that all end before the quarantine is in the store."""
    world = World(others=5)
    await world.restore()
    await until(lambda: world.platform.rows)
    assert world.kept == 1
    assert world.calls_before_kept == []


@fast
async def test_lost_records_are_written_by_few_readers_for_all():
    """Guards against hundreds of nodes that write at the same moment."""
    world = World(others=200)
    await world.restore()
    await until(lambda: len(world.platform.rows) == 201)
    assert world.platform.calls.count("transact") == 5


@fast
async def test_restore_at_300_nodes_costs_few_calls():
    """Guards against a cost at the store that grows with the fleet."""
    platform = RestoredPlatform()
    worlds = [
        World(others=299, turn=n, readers=20, platform=platform) for n in range(20)
    ]
    for world in worlds:
        world.rules.receive_from_store(RulesRecord(2, "op2", "ann", "", TEXT, era=1))
        world.task.start()
    await asyncio.sleep(0.05)
    platform.present_era += 1
    await until(lambda: sum(world.kept for world in worlds) == 3)
    assert len(platform.rows) == 302
    # Of each writer a scan and a read, and of the first what was lost.
    assert Counter(platform.calls) == {"scan": 3, "read": 3, "transact": 6 + 1}


@fast
async def test_who_is_no_early_reader_writes_nothing():
    world = World(others=200, turn=3)
    await world.restore()
    await asyncio.sleep(0.2)
    assert world.platform.calls == []


@fast
async def test_record_that_its_node_writes_meanwhile_is_not_overwritten():
    """Guards against a record of a process that has been replaced."""
    world = World(others=1)
    me = world.membership.me
    [other] = [m for m in world.membership.present() if m is not me]
    newer = list(other.replace(boot="zz"))

    def write_newer() -> None:
        world.platform.before_write = lambda: None
        world.platform.write(f"members/{other.instance}", newer)

    world.platform.before_write = write_newer
    await world.restore()
    await until(lambda: f"members/{me.instance}" in world.platform.rows)
    assert world.platform.rows[f"members/{other.instance}"][1] == newer


@fast
async def test_store_that_is_away_is_asked_until_all_is_written():
    world = World()
    world.platform.down = True
    await world.restore()
    await until(lambda: len(world.platform.calls) > 2)
    world.platform.down = False
    await until(lambda: len(world.platform.rows) == 4)
    await until(lambda: world.kept == 1)


@fast
async def test_second_restore_during_the_first_is_written_as_well():
    world = World()
    world.platform.down = True
    await world.restore()
    await until(lambda: len(world.platform.calls) > 2)
    world.platform.present_era += 1
    world.platform.down = False
    await until(lambda: len(world.platform.rows) == 4)
    assert world.kept == 1
    assert world.counters.events["store.restored"] == 2


@fast
async def test_rules_in_force_are_written_where_the_copy_has_older_ones():
    world = World()
    world.rules.receive_from_store(RulesRecord(2, "op2", "ann", "", TEXT, era=1))
    world.platform.write(HEAD_KEY, RulesRecord(1, "op1", "ann", "", "", 1).as_row())
    await world.restore()
    await until(lambda: "rules/history/00000002" in world.platform.rows)
    head = RulesRecord.from_row(world.platform.rows[HEAD_KEY][1])
    assert (head.revision, head.operation, head.text) == (2, "op2", "")


@fast
async def test_rules_accepted_after_the_restore_are_not_overwritten():
    """Guards against losing an accepted change whose number was used before."""
    world = World()
    world.rules.receive_from_store(RulesRecord(7, "op7", "ann", "", TEXT, era=1))
    accepted = RulesRecord(5, "op5", "ann", "", "", era=2).as_row()
    world.platform.write(HEAD_KEY, accepted)
    await world.restore()
    await until(lambda: world.kept == 1)
    assert world.platform.rows[HEAD_KEY][1] == accepted
