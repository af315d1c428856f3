"""Nodes find each other through the store."""

import asyncio
from random import Random

import orjson
from rattanfork_core.clock import MonotonicClock
from rattanfork_core.membership import Membership
from rattanfork_node.config.tests.fakes import FakePlatform, member, until
from rattanfork_node.member.join import JoinTask


def node(platform: FakePlatform, name: str) -> tuple[JoinTask, Membership]:
    membership = Membership(MonotonicClock(), Random(1), member(name))
    return JoinTask(Random(1), platform, membership, Introductions()), membership


class Introductions:
    """Stands for the task that sends datagrams; counts introductions."""

    def __init__(self) -> None:
        self.count = 0

    def add_seeds(self, seeds: list) -> None:
        """Take addresses of others."""

    def introduce(self) -> None:
        """Tell the others of this node."""
        self.count += 1


def encode_rows(platform: FakePlatform) -> None:
    """Let the fake keep rows as bytes, as the store does."""
    put = platform.put

    def put_encoded(table, key, value):
        put(table, key, value if isinstance(value, bytes) else orjson.dumps(value))

    platform.put = put_encoded


def test_of_two_nodes_that_start_together_one_finds_the_other():
    """Many nodes start within a fraction of a second of each other.

    Each writes its record and then reads all.  Whoever writes later reads the
    other's, so no pair can miss each other.
    """

    async def play():
        platform = FakePlatform()
        encode_rows(platform)
        nodes = [node(platform, f"n{i}") for i in range(6)]
        for task, _ in nodes:
            task.start()
        await until(lambda: all(task.joined for task, _ in nodes))
        views = {
            membership.me.instance: {m.instance for m in membership.present()}
            for _, membership in nodes
        }
        for a in views:
            for b in views:
                assert a in views[b] or b in views[a]
        assert platform.calls.count("transact") == 6
        assert platform.calls.count("scan") == 6

    asyncio.run(play())


def test_a_store_that_is_away_is_asked_again():
    async def play():
        platform = FakePlatform()
        encode_rows(platform)
        platform.down = True
        task, _ = node(platform, "n1")
        task.start()
        await until(lambda: len(platform.calls) >= 2)
        assert not task.joined
        platform.down = False
        await until(lambda: task.joined)

    asyncio.run(play())


def test_a_malformed_record_is_passed_over():
    async def play():
        platform = FakePlatform()
        encode_rows(platform)
        platform.put("members", "bad", b"[1]")
        platform.put("members", "n2", list(member("n2")))
        task, membership = node(platform, "n1")
        task.start()
        await until(lambda: task.joined)
        assert {m.instance for m in membership.present()} == {"n1", "n2"}

    asyncio.run(play())


def test_a_restarted_node_does_not_take_its_own_old_record_for_another():
    async def play():
        platform = FakePlatform()
        encode_rows(platform)
        old = member("n1").replace(boot="older")
        platform.put("members", "n1", list(old))
        task, membership = node(platform, "n1")
        task.start()
        await until(lambda: task.joined)
        assert len(membership.present()) == 1

    asyncio.run(play())


def test_a_node_has_told_the_others_before_it_says_that_it_joined():
    """A node is killed right after it became ready; then the store goes away.

    The node that was there first has read the store before the other's record
    was written, so only a datagram can tell it.  One that waits for the next
    tick is never sent, and the successor is found by nobody.
    """

    async def play():
        platform = FakePlatform()
        encode_rows(platform)
        platform.put("members", "n2", list(member("n2")))
        membership = Membership(MonotonicClock(), Random(1), member("n1"))
        others = Introductions()
        task = JoinTask(Random(1), platform, membership, others)
        task.start()
        await until(lambda: task.joined)
        assert others.count == 1
        assert [s.message.target for s in membership.announce_self()] == [
            member("n2").name
        ]

    asyncio.run(play())


def test_record_that_a_restore_took_away_is_written_again():
    """Guards against a node that no later one finds."""

    async def play():
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
        await until(lambda: task.joined)
        assert "n1" in platform.tables["members"]

    asyncio.run(play())
