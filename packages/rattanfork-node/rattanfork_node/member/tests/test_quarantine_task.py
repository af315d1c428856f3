"""How reports of crashes are disseminated and persisted."""

import asyncio
from random import Random

import orjson
import pytest
from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import (
    CrashUpdate,
    Membership,
    decode_gossip,
    encode_gossip,
)
from rattanfork_core.quarantine import CrashReport, Quarantine, to_row
from rattanfork_node.config.tests.fakes import FakePlatform, member, until
from rattanfork_node.member.join import JoinTask
from rattanfork_node.member.quarantine_task import QuarantineTask
from rattanfork_node.member.records import quarantine_key
from rattanfork_node.relay.tests.fakes import on_loop


class Sender:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.updates: list[tuple[CrashUpdate, int]] = []
        self.on_crashes = None

    def pass_on(self, update: CrashUpdate, count: int) -> None:
        self.updates.append((update, count))

    def add_seeds(self, seeds: list) -> None:
        """Take addresses of others."""

    def introduce(self) -> None:
        """Tell the others of this node."""


class World:
    """One node's part in the quarantine."""

    def __init__(self, platform: FakePlatform | None = None, name: str = "n1") -> None:
        self.clock = ManualClock(100.0)
        self.platform = platform or FakePlatform()
        self.sent = Sender()
        self.quarantine = Quarantine(self.clock)
        self.succeeded: set[int] = set()
        self.membership = Membership(self.clock, Random(1), member(name))
        self.task = QuarantineTask(
            self.quarantine,
            self.membership,
            self.sent,
            self.platform,
            Random(1),
            lambda fingerprint: fingerprint in self.succeeded,
            lambda: 1000.0 + self.clock.now(),
        )

    def tick(self, count: int = 1) -> None:
        for _ in range(count):
            self.clock.advance(0.1)
            self.task.tick()

    @property
    def row(self):
        table, _, key = quarantine_key(self.membership.me.instance).partition("/")
        return self.platform.tables.get(table, {}).get(key)


def test_nothing_is_sent_without_a_crash():
    world = World()
    world.tick(100)
    assert world.sent.updates == []


@on_loop
async def test_crash_is_pushed_at_once():
    """Guards against a second upstream that ends before any node knows of the first."""
    world = World()
    world.task.on_crash(1, [7])
    [(update, count)] = world.sent.updates
    assert update.reports[0].fingerprints == (7,)
    assert count >= 8


@on_loop
async def test_report_of_another_node_is_disseminated():
    world = World()
    world.sent.on_crashes(CrashUpdate((CrashReport(1, 5, (7,)),)))
    world.tick()
    assert world.sent.updates[0][0].reports[0].incarnation == 1


@on_loop
async def test_quarantined_requests_are_sent_again_and_again():
    """Guards against a node that started after the last report."""
    world = World()
    world.task.on_crash(1, [7])
    world.task.on_crash(2, [7])
    world.tick(20)
    world.sent.updates.clear()
    world.tick(100)
    assert 9 <= len(world.sent.updates) <= 11


@on_loop
async def test_single_crash_writes_nothing_to_the_store():
    world = World()
    world.task.on_crash(1, [7])
    await asyncio.sleep(0.05)
    assert world.platform.calls == []


@on_loop
async def test_quarantine_is_persisted_where_an_upstream_crashed():
    near, far = World(), World(name="n2")
    near.task.on_crash(1, [7])
    near.sent.on_crashes(CrashUpdate((CrashReport(2, 5, (7,)),)))
    far.sent.on_crashes(CrashUpdate((CrashReport(1, 5, (7,)), CrashReport(2, 5, (7,)))))
    await until(lambda: near.row is not None)
    await asyncio.sleep(0.05)
    assert far.platform.calls == []


@on_loop
async def test_store_that_is_away_is_asked_until_it_has_the_record():
    world = World()
    world.platform.down = True
    world.task.on_crash(1, [7])
    world.task.on_crash(2, [7])
    await until(lambda: world.platform.calls)
    world.platform.down = False
    await until(lambda: world.row is not None)


@on_loop
async def test_fresh_node_reads_what_others_persisted():
    platform = FakePlatform()
    put = platform.put
    platform.put = lambda table, key, value: put(table, key, orjson.dumps(value))
    old = World(platform)
    old.task.on_crash(1, [7])
    old.task.on_crash(2, [7])
    await until(lambda: old.row is not None)
    fresh = World(platform, name="n2")
    join = JoinTask(
        Random(1), platform, fresh.membership, fresh.sent, fresh.task.merge_record
    )
    join.start()
    await until(lambda: join.joined)
    assert fresh.quarantine.contains(7)
    assert len(fresh.membership.members) == 1


@on_loop
async def test_suspect_that_succeeds_here_is_cleared_for_all():
    """Guards against the quarantine of a request that runs well at other upstreams."""
    world, other = World(), World(name="n2")
    world.succeeded.add(7)
    reports = (CrashReport(1, 5, (7,)), CrashReport(2, 5, (7,)))
    for each in (world, other):
        each.sent.on_crashes(CrashUpdate(reports))
    assert not world.quarantine.contains(7)
    assert other.quarantine.contains(7)
    world.tick()
    for update, _ in world.sent.updates:
        other.sent.on_crashes(update)
    assert not other.quarantine.contains(7)


@pytest.mark.parametrize(
    "value", [None, [], {}, {"crashes": 1}, {"crashes": [[1, 2]]}, {"crashes": [1]}]
)
def test_record_of_another_writer_is_refused(value):
    with pytest.raises(ValueError, match="record of the quarantine"):
        World().task.merge_record(value)


def test_malformed_fingerprints_in_a_record_are_refused():
    row = to_row([CrashReport(1, 5, (7,))], 1_000_000)
    row["crashes"][0][2] = ["xyz"]
    with pytest.raises(ValueError, match="xyz"):
        World().task.merge_record(row)


def test_update_travels_in_a_datagram():
    reports = (CrashReport(1 << 63, 5, tuple(range(1 << 62, (1 << 62) + 100))),)
    data = encode_gossip(CrashUpdate(reports), b"k")
    assert len(data) < 1400
    assert decode_gossip(data, b"k") == CrashUpdate(reports)


def test_malformed_update_is_refused():
    data = encode_gossip(CrashUpdate((CrashReport(1, -5, ()),)), b"k")
    with pytest.raises(ValueError, match="malformed"):
        decode_gossip(data, b"k")
