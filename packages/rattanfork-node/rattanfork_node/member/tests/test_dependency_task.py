"""Tests of the persistence of learned dependencies."""

import asyncio
from random import Random

from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import OperationDependencies
from rattanfork_core.membership import Membership
from rattanfork_node.config.tests.fakes import FakePlatform, member
from rattanfork_node.member.dependency_task import DependencyTask
from rattanfork_node.member.join import JoinTask
from rattanfork_node.member.records import dependencies_key
from rattanfork_node.member.tests.test_quarantine_task import RecordingGossipTask
from rattanfork_node.relay.tests.fakes import on_loop
from rattanfork_node.telemetry import Counters


class Harness:
    """Dependency task of one node."""

    def __init__(self, platform: FakePlatform, name: str = "n1") -> None:
        self.platform = platform
        self.dependencies = OperationDependencies()
        self.membership = Membership(ManualClock(), Random(1), member(name))
        self.task = DependencyTask(
            self.dependencies, self.membership, platform, Counters()
        )

    async def tick(self) -> None:
        """Run one check, and the write that it starts."""
        for _ in range(50):
            self.task.tick()
        await asyncio.sleep(0.01)

    @property
    def stored(self) -> object:
        """The row's value; None without one."""
        table, _, name = dependencies_key().partition("/")
        return self.platform.tables.get(table, {}).get(name)


@on_loop
async def test_node_that_starts_adopts_what_another_has_learned():
    """Guards against requests that fail half-way after a restart of all nodes."""
    platform = FakePlatform()
    writer = Harness(platform)
    writer.dependencies.record_run("buy/shops", ["wallets"])
    await writer.tick()
    started = Harness(platform, "n2")
    started.task.merge_record(writer.stored)
    assert started.dependencies.services("buy/shops") == ("wallets",)


@on_loop
async def test_row_is_written_only_for_new_dependencies():
    """Guards against calls to the store that repeat what it holds."""
    platform = FakePlatform()
    harness = Harness(platform)
    harness.dependencies.record_run("buy/shops", ["wallets"])
    await harness.tick()
    written = len(platform.calls)
    await harness.tick()
    assert len(platform.calls) == written
    harness.dependencies.record_run("view/shops", ["stocks"])
    await harness.tick()
    assert len(platform.calls) == written + 1


@on_loop
async def test_malformed_row_leaves_the_join_and_the_other_rows_alone():
    """Guards against a row of another writer that keeps a node from joining."""
    platform = FakePlatform()
    await platform.transact({}, {dependencies_key(): ["not", "a", "map"]})
    harness = Harness(platform)
    join = JoinTask(
        Random(1),
        platform,
        harness.membership,
        RecordingGossipTask(),
        on_dependencies=harness.task.merge_record,
    )
    join.start()
    for _ in range(100):
        await asyncio.sleep(0.01)
        if join.joined:
            break
    join.close()
    assert join.joined
