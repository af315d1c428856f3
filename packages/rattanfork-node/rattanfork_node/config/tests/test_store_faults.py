"""Start of a node under every pair of consecutive store faults."""

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
    FakeGossipTask,
    FakePeers,
    FakePlatform,
    member,
    wait_until,
)
from rattanfork_node.member.join import JoinTask
from rattanfork_node.telemetry import Counters

#: In this order: the call is rejected; it is executed but its reply is lost; it is
#: executed after a delay; the change history is truncated; the value is malformed;
#: no fault.
FAULTS = (
    "rejected",
    "reply lost",
    "applied late",
    "history truncated",
    "malformed",
    "none",
)
_LATE_WRITE_DELAY_S = 0.02


class FaultyPlatform(FakePlatform):
    """Store whose first calls fail according to a plan."""

    def __init__(self, plan: tuple[str, ...]) -> None:
        super().__init__()
        self.plan = list(plan)

    async def transact(self, checks, writes) -> bool:
        self.calls.append("transact")
        fault = self._next_fault()
        if fault == "rejected":
            raise PlatformDownError("store unreachable")
        loop = asyncio.get_running_loop()
        if fault == "applied late":
            loop.call_later(_LATE_WRITE_DELAY_S, self._write, writes)
            raise PlatformDownError("no answer")
        self._write(writes)
        if fault == "reply lost":
            raise PlatformDownError("no answer")
        return True

    async def scan(self, table: str, key: str = "") -> Rows:
        return self._inject(await super().scan(table, key))

    async def watch(self, table: str, after: int, wait: float) -> Rows:
        return self._inject(await super().watch(table, after, wait))

    def _write(self, writes: dict) -> None:
        for key, value in writes.items():
            table, _, name = key.partition("/")
            self.put(table, name, orjson.dumps(value))

    def _next_fault(self) -> str:
        return self.plan.pop(0) if self.plan else "none"

    def _inject(self, rows: Rows) -> Rows:
        fault = self._next_fault()
        if fault == "history truncated" and self.calls[-1] == "watch":
            raise HistoryLostError("history truncated")
        if fault in ("rejected", "reply lost", "applied late"):
            raise PlatformDownError(fault)
        if fault == "malformed":
            corrupt = {key: Row(row.version, b"?") for key, row in rows.rows.items()}
            return Rows(corrupt, rows.version)
        return rows


def unreachable_peers() -> FakePeers:
    peers = FakePeers()
    peers.reachable = False
    return peers


async def check_join(plan: tuple[str, ...]) -> None:
    """Start a node; check that it finds the other and writes one record."""
    platform = FaultyPlatform(plan)
    platform.put("members", "n2", orjson.dumps(list(member("n2"))))
    membership = Membership(MonotonicClock(), Random(1), member("n1"))
    others = SimpleNamespace(add_seeds=lambda seeds: None, introduce=lambda: None)
    task = JoinTask(Random(1), platform, membership, others)
    task.start()
    await wait_until(lambda: task.joined)
    await asyncio.sleep(2 * _LATE_WRITE_DELAY_S)
    assert set(platform.tables["members"]) == {"n1", "n2"}
    assert platform.calls.count("transact") <= 3, "too many calls to the store"
    corrupt = "malformed" in plan
    assert corrupt or {m.instance for m in membership.present()} == {"n1", "n2"}
    task.close()


async def check_configuration(plan: tuple[str, ...]) -> None:
    """Write configurations; check that versions increase up to the newest."""
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
        FakeGossipTask(),
        unreachable_peers(),
        Counters(),
    )
    platform.put("op", "config", b"3")
    task.start()
    await asyncio.sleep(_LATE_WRITE_DELAY_S)
    platform.put("op", "config", b"7")
    # After a malformed value the next change has to be applied.
    await asyncio.sleep(1.0)
    platform.put("op", "config", b"8")
    await wait_until(lambda: holder.version == 8)
    assert seen == sorted(seen)
    assert len(platform.calls) <= 12, "too many calls to the store"
    task.close()


async def check_rules(plan: tuple[str, ...]) -> None:
    """Start with an empty rules table; check that the node becomes ready."""
    platform = FaultyPlatform(plan)
    state = RevisionState()
    membership = Membership(MonotonicClock(), Random(1), member("n1"))
    task = RulesWatcher(
        Random(1), state, platform, membership, unreachable_peers(), Counters()
    )
    task.start()
    await wait_until(lambda: state.ready)
    assert state.revision == 0
    assert len(platform.calls) <= 4, "too many calls to the store"
    task.close()


def run_fault_pairs(scenario) -> None:
    """Run all pairs of faults concurrently, as each spends its time waiting."""

    async def run_plan(plan: tuple[str, ...]) -> str:
        try:
            await scenario(plan)
        except (AssertionError, TimeoutError) as error:
            return f"{', '.join(plan)}: {error!r}"
        return ""

    async def run() -> list[str]:
        return await asyncio.gather(*map(run_plan, product(FAULTS, repeat=2)))

    assert [failure for failure in asyncio.run(run()) if failure] == []


def test_node_joins_after_any_two_store_faults():
    """Guards against duplicate or missing records after retried writes.

    A write whose reply is lost or that executes late is retried.  It is idempotent,
    as the row key is the instance name.
    """
    run_fault_pairs(check_join)


def test_newest_configuration_is_applied_after_any_two_store_faults():
    """Two calls fail while one configuration is read and another is written.

    Versions never decrease, and the newest is applied once the store returns it.
    """
    run_fault_pairs(check_configuration)


def test_node_becomes_ready_after_any_two_store_faults_on_the_rules():
    run_fault_pairs(check_rules)
