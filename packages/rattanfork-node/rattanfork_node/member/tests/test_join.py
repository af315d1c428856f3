"""Tests of discovery through the store."""

import asyncio
from dataclasses import replace
from random import Random

import orjson
from rattanfork_core.clock import MonotonicClock
from rattanfork_core.membership import Member, Membership, MemberStatus
from rattanfork_node.config.tests.fakes import (
    FakePlatform,
    encode_rows,
    member,
    wait_until,
)
from rattanfork_node.member import join
from rattanfork_node.member.join import JoinTask
from rattanfork_node.telemetry import Counters


def node(platform: FakePlatform, name: str) -> tuple[JoinTask, Membership]:
    membership = Membership(MonotonicClock(), Random(1), member(name))
    return JoinTask(Random(1), platform, membership, FakeGossipTask()), membership


class FakeGossipTask:
    """Counts introductions."""

    def __init__(self) -> None:
        self.count = 0

    def add_seeds(self, seeds: list) -> None:
        """Ignore the addresses."""

    def introduce(self) -> None:
        """Count the call."""
        self.count += 1


def test_one_of_two_concurrently_starting_nodes_finds_the_other():
    """Guards against pairs of concurrently starting nodes that miss each other.

    Each writes its record before it reads the table, so the later writer reads the
    record of the earlier one.
    """

    async def run():
        platform = FakePlatform()
        encode_rows(platform)
        nodes = [node(platform, f"n{i}") for i in range(6)]
        for task, _ in nodes:
            task.start()
        await wait_until(lambda: all(task.joined for task, _ in nodes))
        views = {
            membership.me.instance: {m.instance for m in membership.present()}
            for _, membership in nodes
        }
        for a in views:
            for b in views:
                assert a in views[b] or b in views[a]
        assert platform.calls.count("transact") == 6
        assert platform.calls.count("scan") == 6

    asyncio.run(run())


def test_join_is_retried_until_the_store_answers():
    async def run():
        platform = FakePlatform()
        encode_rows(platform)
        platform.down = True
        task, _ = node(platform, "n1")
        task.start()
        await wait_until(lambda: len(platform.calls) >= 2)
        assert not task.joined
        platform.down = False
        await wait_until(lambda: task.joined)

    asyncio.run(run())


def test_malformed_record_is_skipped():
    async def run():
        platform = FakePlatform()
        encode_rows(platform)
        platform.put("members", "bad", b"[1]")
        platform.put("members", "n2", list(member("n2")))
        task, membership = node(platform, "n1")
        task.start()
        await wait_until(lambda: task.joined)
        assert {m.instance for m in membership.present()} == {"n1", "n2"}

    asyncio.run(run())


def test_restarted_node_ignores_its_own_old_record():
    async def run():
        platform = FakePlatform()
        encode_rows(platform)
        old = member("n1").replace(boot="older")
        platform.put("members", "n1", list(old))
        task, membership = node(platform, "n1")
        task.start()
        await wait_until(lambda: task.joined)
        assert len(membership.present()) == 1

    asyncio.run(run())


def test_node_introduces_itself_before_it_reports_joined():
    """Guards against a node that no other node discovers.

    An earlier node read the store before this one wrote its record, so only gossip
    can announce it.  If this node is killed before the next tick and the store
    then fails, no node knows its address or discovers its restarted process.
    """

    async def run():
        platform = FakePlatform()
        encode_rows(platform)
        platform.put("members", "n2", list(member("n2")))
        membership = Membership(MonotonicClock(), Random(1), member("n1"))
        gossip_task = FakeGossipTask()
        task = JoinTask(Random(1), platform, membership, gossip_task)
        task.start()
        await wait_until(lambda: task.joined)
        assert gossip_task.count == 1
        assert [s.message.target for s in membership.announce_self()] == [
            member("n2").name
        ]

    asyncio.run(run())


def test_record_lost_in_a_store_restore_is_written_again():
    """Guards against a node that later ones do not discover."""

    async def run():
        platform = FakePlatform()
        encode_rows(platform)
        scan = platform.scan
        task, _ = node(platform, "n1")

        async def scan_older(table, key=""):
            platform.scan = scan
            platform.tables["members"].clear()
            return await scan(table, key)

        platform.scan = scan_older
        task.start()
        await wait_until(lambda: task.joined)
        assert "n1" in platform.tables["members"]

    asyncio.run(run())


def test_retirements_are_merged_in_the_order_of_their_writes():
    """Guards against a bounded table that forgets the last leavings at a start."""

    async def run():
        platform = FakePlatform()
        encode_rows(platform)
        for number in range(40):
            platform.put("members", f"retired:n1:{number * 7 % 40:04}", [number])
        scan = platform.scan
        merged = []

        async def scan_by_key(table, key=""):
            rows = await scan(table, key)
            versions = {
                k: replace(row, version=1 + orjson.loads(row.value)[0])
                if k.startswith("retired:")
                else row
                for k, row in sorted(rows.rows.items())
            }
            return replace(rows, rows=versions)

        platform.scan = scan_by_key
        task = JoinTask(
            Random(1),
            platform,
            Membership(MonotonicClock(), Random(1), member("n1")),
            FakeGossipTask(),
            on_retirement=merged.append,
        )
        task.start()
        await wait_until(lambda: task.joined)
        assert merged == [[number] for number in range(40)]

    asyncio.run(run())


def joined_with(*rows: tuple[str, Member], counters: Counters) -> Membership:
    """Return the view of node n1 after it has read the given rows."""

    async def run():
        platform = FakePlatform()
        encode_rows(platform)
        for key, record in rows:
            platform.put("members", key, list(record))
        membership = Membership(MonotonicClock(), Random(1), member("n1"))
        task = JoinTask(
            Random(1), platform, membership, FakeGossipTask(), counters=counters
        )
        task.start()
        await wait_until(lambda: task.joined)
        return membership

    return asyncio.run(run())


def test_record_under_another_key_is_skipped():
    """Guards against rows that replace the record of a running node."""
    counters = Counters()
    claim = member("n2").replace(incarnation=2**62 - 1)
    membership = joined_with(
        ("n2", member("n2")), ("x", claim), ("n3", member("n1")), counters=counters
    )
    assert {m.instance for m in membership.present()} == {"n1", "n2"}
    assert membership.members[claim.name].incarnation == 0
    assert counters.events["row.malformed"] == 2


def test_member_overrides_what_its_row_states():
    """Guards against a row whose incarnation its member can't exceed."""
    claim = member("n2").replace(
        incarnation=2**62 - 1, status=MemberStatus.DEAD, slots=1
    )
    membership = joined_with(("n2", claim), counters=Counters())
    assert membership.members[claim.name].status == MemberStatus.ALIVE
    membership.merge([member("n2").replace(incarnation=1, slots=8)])
    assert membership.members[claim.name].slots == 8


def test_few_of_many_malformed_rows_are_logged(monkeypatch):
    """Guards against a table of another program that uses up the line budget."""
    lines = []
    monkeypatch.setattr(
        join, "log_change", lambda what, **fields: lines.append((what, fields))
    )
    counters = Counters()
    rows = [(f"x{i}", member("n2")) for i in range(500)]
    joined_with(*rows, counters=counters)
    malformed = [fields for what, fields in lines if what == "record_malformed"]
    assert len(malformed) == 16
    assert malformed[0]["key"] == "x0"
    assert counters.events["row.malformed"] == 500
