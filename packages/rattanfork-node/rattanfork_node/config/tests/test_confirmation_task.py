"""Tests of confirmations that nodes adopt from each other."""

import asyncio
from random import Random

import pytest
from rattanfork_core.clock import ManualClock, MonotonicClock
from rattanfork_core.membership import (
    UNKNOWN_AGE_MS,
    CachedVersions,
    Membership,
    RoleAssignment,
)
from rattanfork_core.revision import ConfirmationSchedule
from rattanfork_platform import PlatformDownError

from rattanfork_node.config.confirmation_task import ConfirmationTask
from rattanfork_node.config.store_replica import StoreReplica
from rattanfork_node.config.tests.fakes import FakeGossipTask, member, wait_until
from rattanfork_node.telemetry import Counters


class RecordingGossipTask(FakeGossipTask):
    """Records the members that are notified."""

    def __init__(self) -> None:
        super().__init__()
        self.notified: list[str] = []

    def push_cached_versions(self, names) -> None:
        self.notified += names


class FakeReplica(StoreReplica):
    """Replica whose state the test sets."""

    def __init__(self, version: int = 1) -> None:
        self.is_outdated = False
        self.version = version
        self.polls: list[int] = []
        self.down = False

    @property
    def outdated(self) -> bool:
        return self.is_outdated

    async def refresh(self, store_version: int) -> int:
        self.polls.append(store_version)
        if self.down:
            raise PlatformDownError("store unreachable")
        return self.version


class Harness:
    """Confirmation task with two replicas, by default on a manual clock."""

    def __init__(self, names: str = "abc", clock=None) -> None:
        self.clock = clock or ManualClock()
        self.membership = Membership(self.clock, Random(1), member("me"))
        self.membership.merge(member(name) for name in names)
        self.gossip_task = RecordingGossipTask()
        self.replica = FakeReplica(version=9)
        self.other_replica = FakeReplica(version=9)
        self.counters = Counters()
        self.task = ConfirmationTask(
            Random(1),
            ConfirmationSchedule(self.clock, Random(1)),
            RoleAssignment(self.membership, "confirmation", 4),
            self.gossip_task,
            (self.replica, self.other_replica),
            self.counters,
        )

    def receive(self, configuration: int, confirmed: int, rules: int = 0) -> None:
        gossip_task = self.gossip_task
        gossip_task.newest_configuration = max(
            gossip_task.newest_configuration, configuration
        )
        gossip_task.newest_rules = max(gossip_task.newest_rules, rules)
        self.task.on_cached_versions(CachedVersions(configuration, rules, confirmed))


def test_confirmation_of_the_newest_version_is_adopted():
    harness = Harness()
    harness.clock.advance(5.0)
    harness.receive(configuration=7, confirmed=200)
    assert harness.task.age == pytest.approx(0.2)
    assert harness.task.confirmation_age_ms() == 200


def test_starting_node_reports_no_confirmation():
    """Guards against gossip of a confirmation that never took place.

    A node that starts while the store is down gets its data from a peer.  Counting
    its start as a confirmation would make other nodes skip their polls.
    """
    harness = Harness()
    harness.clock.advance(0.5)
    assert harness.task.confirmation_age_ms() == UNKNOWN_AGE_MS
    harness.receive(configuration=7, confirmed=200)
    assert harness.task.confirmation_age_ms() == 200


def test_confirmation_of_an_older_version_is_ignored():
    """Guards against a stale confirmation from a node that was paused.

    It confirms version 7 with age zero, although the store already held version 8,
    which another node has reported.
    """
    harness = Harness()
    harness.clock.advance(5.0)
    harness.receive(configuration=8, confirmed=UNKNOWN_AGE_MS)
    harness.receive(configuration=7, confirmed=0)
    assert harness.task.age == 5.0
    harness.receive(configuration=8, rules=2, confirmed=UNKNOWN_AGE_MS)
    harness.receive(configuration=8, rules=1, confirmed=0)
    assert harness.task.age == 5.0


def test_outdated_node_neither_adopts_nor_reports_a_confirmation():
    """Guards against confirming the outdated version that this node holds."""
    harness = Harness()
    harness.clock.advance(5.0)
    harness.replica.is_outdated = True
    harness.receive(configuration=8, confirmed=100)
    assert harness.task.age == 5.0
    assert harness.task.confirmation_age_ms() == UNKNOWN_AGE_MS


def run_until(harness: Harness, condition) -> None:
    async def inner() -> None:
        harness.task.start()
        try:
            await wait_until(condition)
        finally:
            harness.task.close()

    asyncio.run(inner())


def test_store_version_is_passed_to_the_next_replica():
    """One call confirms all replicas if the store has not changed since."""
    harness = Harness(clock=MonotonicClock())
    run_until(harness, lambda: harness.gossip_task.notified)
    assert (harness.replica.polls[0], harness.other_replica.polls[0]) == (0, 9)
    assert len(set(harness.gossip_task.notified)) == 3


def test_unanswered_poll_is_retried_and_not_disseminated():
    harness = Harness(clock=MonotonicClock())
    harness.replica.down = True
    run_until(harness, lambda: len(harness.replica.polls) >= 3)
    assert harness.gossip_task.notified == []
    assert harness.counters.events["confirmation.unanswered"] >= 2
