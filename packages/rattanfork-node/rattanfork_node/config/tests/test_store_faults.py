"""Every pair of faults of the store, at the calls of a node that starts."""

import asyncio
from itertools import product
from random import Random
from types import SimpleNamespace

import orjson
from rattanfork_core.clock import MonotonicClock
from rattanfork_core.membership import Membership
from rattanfork_core.revision import RevisionState
from rattanfork_core.routes import Configuration
from rattanfork_platform import HistoryLostError, PlatformDownError, Row, Rows

from rattanfork_node.config.configuration_task import ConfigurationTask
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.config.rules_watcher import RulesWatcher
from rattanfork_node.config.tests.fakes import (
    FakeMemberTask,
    FakePeers,
    FakePlatform,
    member,
    until,
)
from rattanfork_node.member.join import JoinTask
from rattanfork_node.telemetry import Counters

#: A call that was turned away; one that was done and whose answer was lost; one
#: that is done later; one after which the history is gone; one that brings a
#: malformed value; and none.
FAULTS = ("away", "answer lost", "done late", "history gone", "malformed", "none")
_LATE = 0.02


class FaultyPlatform(FakePlatform):
    """A store whose first calls meet the faults of a plan."""

    def __init__(self, plan: tuple[str, ...]) -> None:
        super().__init__()
        self.plan = list(plan)

    async def transact(self, checks, writes) -> bool:
        self.calls.append("transact")
        fault = self._next()
        if fault == "away":
            raise PlatformDownError("away")
        loop = asyncio.get_running_loop()
        if fault == "done late":
            loop.call_later(_LATE, self._write, writes)
            raise PlatformDownError("no answer")
        self._write(writes)
        if fault == "answer lost":
            raise PlatformDownError("no answer")
        return True

    async def scan(self, table: str, key: str = "") -> Rows:
        return self._spoil(await super().scan(table, key))

    async def watch(self, table: str, after: int, wait: float) -> Rows:
        return self._spoil(await super().watch(table, after, wait))

    def _write(self, writes: dict) -> None:
        for key, value in writes.items():
            table, _, name = key.partition("/")
            self.put(table, name, orjson.dumps(value))

    def _next(self) -> str:
        return self.plan.pop(0) if self.plan else "none"

    def _spoil(self, rows: Rows) -> Rows:
        fault = self._next()
        if fault == "history gone" and self.calls[-1] == "watch":
            raise HistoryLostError("gone")
        if fault in ("away", "answer lost", "done late"):
            raise PlatformDownError(fault)
        if fault == "malformed":
            spoilt = {key: Row(row.version, b"?") for key, row in rows.rows.items()}
            return Rows(spoilt, rows.version)
        return rows


def peers_without_answer() -> FakePeers:
    peers = FakePeers()
    peers.reachable = False
    return peers


async def join(plan: tuple[str, ...]) -> None:
    """Start a node; check that it finds another and leaves one record."""
    platform = FaultyPlatform(plan)
    platform.put("members", "n2", orjson.dumps(list(member("n2"))))
    membership = Membership(MonotonicClock(), Random(1), member("n1"))
    others = SimpleNamespace(add_seeds=lambda seeds: None, introduce=lambda: None)
    task = JoinTask(Random(1), platform, membership, others)
    task.start()
    await until(lambda: task.joined)
    await asyncio.sleep(2 * _LATE)
    assert set(platform.tables["members"]) == {"n1", "n2"}
    assert platform.calls.count("transact") <= 3, "the store is hammered"
    spoilt = "malformed" in plan
    assert spoilt or {m.instance for m in membership.present()} == {"n1", "n2"}
    task.close()


async def configure(plan: tuple[str, ...]) -> None:
    """Follow two configurations; check that versions only rise, to the newest."""
    platform = FaultyPlatform(plan)
    seen: list[int] = []
    holder = ConfigurationHolder(lambda d: Configuration(int(d), (), {}))
    holder.on_change = lambda configuration: seen.append(configuration.version)
    task = ConfigurationTask(
        MonotonicClock(),
        Random(1),
        holder,
        platform,
        "op",
        "config",
        Membership(MonotonicClock(), Random(1), member("n1")),
        FakeMemberTask(),
        peers_without_answer(),
        Counters(),
    )
    platform.put("op", "config", b"3")
    task.start()
    await asyncio.sleep(_LATE)
    platform.put("op", "config", b"7")
    # What follows a malformed answer is the next change.
    await asyncio.sleep(1.0)
    platform.put("op", "config", b"8")
    await until(lambda: holder.version == 8)
    assert seen == sorted(seen)
    assert len(platform.calls) <= 12, "the store is hammered"
    task.close()


async def follow_rules(plan: tuple[str, ...]) -> None:
    """Start without rules; check that the node takes work once it knows so."""
    platform = FaultyPlatform(plan)
    state = RevisionState()
    membership = Membership(MonotonicClock(), Random(1), member("n1"))
    task = RulesWatcher(
        Random(1), state, platform, membership, peers_without_answer(), Counters()
    )
    task.start()
    await until(lambda: state.ready)
    assert state.revision == 0
    assert len(platform.calls) <= 4, "the store is hammered"
    task.close()


def play_all(cell) -> None:
    """Play all pairs of faults side by side; most of their time is waiting."""

    async def play(plan: tuple[str, ...]) -> str:
        try:
            await cell(plan)
        except (AssertionError, TimeoutError) as error:
            return f"{', '.join(plan)}: {error!r}"
        return ""

    async def run() -> list[str]:
        return await asyncio.gather(*map(play, product(FAULTS, repeat=2)))

    assert [failure for failure in asyncio.run(run()) if failure] == []


def test_a_node_joins_after_any_two_faults_of_the_store():
    """Two calls of a node that starts fail, one after the other.

    A write whose answer was lost, or that is done later, is made again: it
    names the node, so a second one changes nothing.  The node finds the other
    and leaves one record.
    """
    play_all(join)


def test_the_newest_configuration_is_in_force_after_any_two_faults():
    """Two calls fail while a configuration is read and another one written.

    Versions never fall; the newest is in force as soon as the store tells.
    """
    play_all(configure)


def test_a_node_takes_work_after_any_two_faults_of_the_rules():
    play_all(follow_rules)
