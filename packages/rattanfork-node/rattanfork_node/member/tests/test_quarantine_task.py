"""Tests of the dissemination and persistence of crash reports."""

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
from rattanfork_node.config.tests.fakes import FakePlatform, member, wait_until
from rattanfork_node.member.join import JoinTask
from rattanfork_node.member.quarantine_task import QuarantineTask
from rattanfork_node.member.records import quarantine_key
from rattanfork_node.relay.tests.fakes import on_loop


class RecordingGossipTask:
    """Records sent updates."""

    def __init__(self) -> None:
        self.updates: list[tuple[CrashUpdate, int]] = []
        self.on_crash_update = None

    def send_to_random(self, update: CrashUpdate, count: int) -> None:
        self.updates.append((update, count))

    def add_seeds(self, seeds: list) -> None:
        """Ignore the addresses."""

    def introduce(self) -> None:
        """Do nothing."""


class Harness:
    """Quarantine task of one node."""

    def __init__(self, platform: FakePlatform | None = None, name: str = "n1") -> None:
        self.clock = ManualClock(100.0)
        self.platform = platform or FakePlatform()
        self.gossip_task = RecordingGossipTask()
        self.quarantine = Quarantine(self.clock)
        self.succeeded: set[int] = set()
        self.membership = Membership(self.clock, Random(1), member(name))
        self.task = QuarantineTask(
            self.quarantine,
            self.membership,
            self.gossip_task,
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
    harness = Harness()
    harness.tick(100)
    assert harness.gossip_task.updates == []


@on_loop
async def test_local_crash_is_sent_at_once():
    """Guards against a second crash before any other node knows of the first."""
    harness = Harness()
    harness.task.on_crash(1, [7])
    [(update, count)] = harness.gossip_task.updates
    assert update.reports[0].fingerprints == (7,)
    assert count >= 8


@on_loop
async def test_report_of_another_node_is_disseminated():
    harness = Harness()
    harness.gossip_task.on_crash_update(CrashUpdate((CrashReport(1, 5, (7,)),)))
    harness.tick()
    assert harness.gossip_task.updates[0][0].reports[0].incarnation == 1


@on_loop
async def test_quarantine_is_sent_periodically():
    """Guards against nodes that start after the last report and never receive it."""
    harness = Harness()
    harness.task.on_crash(1, [7])
    harness.task.on_crash(2, [7])
    harness.tick(20)
    harness.gossip_task.updates.clear()
    harness.tick(100)
    assert 9 <= len(harness.gossip_task.updates) <= 11


@on_loop
async def test_single_crash_is_not_persisted():
    harness = Harness()
    harness.task.on_crash(1, [7])
    await asyncio.sleep(0.05)
    assert harness.platform.calls == []


@on_loop
async def test_quarantine_is_persisted_only_by_nodes_whose_upstream_crashed():
    near, far = Harness(), Harness(name="n2")
    near.task.on_crash(1, [7])
    near.gossip_task.on_crash_update(CrashUpdate((CrashReport(2, 5, (7,)),)))
    far.gossip_task.on_crash_update(
        CrashUpdate((CrashReport(1, 5, (7,)), CrashReport(2, 5, (7,))))
    )
    await wait_until(lambda: near.row is not None)
    await asyncio.sleep(0.05)
    assert far.platform.calls == []


@on_loop
async def test_write_is_retried_until_the_store_answers():
    harness = Harness()
    harness.platform.down = True
    harness.task.on_crash(1, [7])
    harness.task.on_crash(2, [7])
    await wait_until(lambda: harness.platform.calls)
    harness.platform.down = False
    await wait_until(lambda: harness.row is not None)


@on_loop
async def test_starting_node_reads_the_persisted_quarantine():
    platform = FakePlatform()
    put = platform.put
    platform.put = lambda table, key, value: put(table, key, orjson.dumps(value))
    old = Harness(platform)
    old.task.on_crash(1, [7])
    old.task.on_crash(2, [7])
    await wait_until(lambda: old.row is not None)
    joining = Harness(platform, name="n2")
    join = JoinTask(
        Random(1),
        platform,
        joining.membership,
        joining.gossip_task,
        joining.task.merge_record,
    )
    join.start()
    await wait_until(lambda: join.joined)
    assert joining.quarantine.contains(7)
    assert len(joining.membership.members) == 1


@on_loop
async def test_suspect_that_succeeds_at_one_node_is_cleared_at_others():
    """Guards against quarantining a request that succeeds at other upstreams."""
    harness, other = Harness(), Harness(name="n2")
    harness.succeeded.add(7)
    reports = (CrashReport(1, 5, (7,)), CrashReport(2, 5, (7,)))
    for each in (harness, other):
        each.gossip_task.on_crash_update(CrashUpdate(reports))
    assert not harness.quarantine.contains(7)
    assert other.quarantine.contains(7)
    harness.tick()
    for update, _ in harness.gossip_task.updates:
        other.gossip_task.on_crash_update(update)
    assert not other.quarantine.contains(7)


@pytest.mark.parametrize(
    "value", [None, [], {}, {"crashes": 1}, {"crashes": [[1, 2]]}, {"crashes": [1]}]
)
def test_value_that_is_no_quarantine_record_is_rejected(value):
    with pytest.raises(ValueError, match="record of the quarantine"):
        Harness().task.merge_record(value)


def test_malformed_fingerprint_is_rejected():
    row = to_row([CrashReport(1, 5, (7,))], 1_000_000)
    row["crashes"][0][2] = ["xyz"]
    with pytest.raises(ValueError, match="xyz"):
        Harness().task.merge_record(row)


def test_update_fits_into_one_datagram():
    reports = (CrashReport(1 << 63, 5, tuple(range(1 << 62, (1 << 62) + 100))),)
    data = encode_gossip(CrashUpdate(reports), b"k")
    assert len(data) < 1400
    assert decode_gossip(data, b"k") == CrashUpdate(reports)


def test_malformed_update_is_rejected():
    data = encode_gossip(CrashUpdate((CrashReport(1, -5, ()),)), b"k")
    with pytest.raises(ValueError, match="malformed"):
        decode_gossip(data, b"k")
