"""What a node believes of others' words about the store."""

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
from rattanfork_node.config.follower import Follower
from rattanfork_node.config.tests.fakes import FakeMemberTask, member, until
from rattanfork_node.telemetry import Counters


class Told(FakeMemberTask):
    """Hears what the test says, and keeps whom it is to tell."""

    def __init__(self) -> None:
        super().__init__()
        self.told: list[str] = []

    def tell(self, names) -> None:
        self.told += names


class Held(Follower):
    """Something held, of which the test says whether it is behind."""

    def __init__(self, version: int = 1) -> None:
        self.is_behind = False
        self.version = version
        self.looks: list[int] = []
        self.down = False

    @property
    def behind(self) -> bool:
        return self.is_behind

    async def look(self, store_version: int) -> int:
        self.looks.append(store_version)
        if self.down:
            raise PlatformDownError("away")
        return self.version


class World:
    """A confirmation task on a clock of its own."""

    def __init__(self, names: str = "abc", clock=None) -> None:
        self.clock = clock or ManualClock()
        self.membership = Membership(self.clock, Random(1), member("me"))
        self.membership.merge(member(name) for name in names)
        self.heard = Told()
        self.held = Held(version=9)
        self.other = Held(version=9)
        self.counters = Counters()
        self.task = ConfirmationTask(
            Random(1),
            ConfirmationSchedule(self.clock, Random(1)),
            RoleAssignment(self.membership, "confirmation", 4),
            self.heard,
            (self.held, self.other),
            self.counters,
        )

    def hear(self, configuration: int, confirmed: int, rules: int = 0) -> None:
        heard = self.heard
        heard.newest_configuration = max(heard.newest_configuration, configuration)
        heard.newest_rules = max(heard.newest_rules, rules)
        self.task.on_held_versions(CachedVersions(configuration, rules, confirmed))


def test_a_word_about_the_newest_makes_ones_own_younger():
    world = World()
    world.clock.advance(5.0)
    world.hear(configuration=7, confirmed=200)
    assert world.task.age == pytest.approx(0.2)
    assert world.task.confirmation_age_ms() == 200


def test_a_fresh_node_has_no_word_to_pass_on():
    """A node starts while the store is away, and gets what it holds from a peer.

    Nobody knows whether that is the newest.  Told as if the store had said so at
    the node's start, the others stop asking for a turn, and take it for confirmed.
    """
    world = World()
    world.clock.advance(0.5)
    assert world.task.confirmation_age_ms() == UNKNOWN_AGE_MS
    world.hear(configuration=7, confirmed=200)
    assert world.task.confirmation_age_ms() == 200


def test_a_word_about_something_older_says_nothing():
    """A node that was paused says that version 7 was the newest a moment ago.

    Another has told of version 8: the store held something newer by then.
    """
    world = World()
    world.clock.advance(5.0)
    world.hear(configuration=8, confirmed=UNKNOWN_AGE_MS)
    world.hear(configuration=7, confirmed=0)
    assert world.task.age == 5.0
    world.hear(configuration=8, rules=2, confirmed=UNKNOWN_AGE_MS)
    world.hear(configuration=8, rules=1, confirmed=0)
    assert world.task.age == 5.0


def test_who_is_behind_neither_believes_nor_spreads_a_word():
    """Taken for its own, the word would stand beside the older version it holds."""
    world = World()
    world.clock.advance(5.0)
    world.held.is_behind = True
    world.hear(configuration=8, confirmed=100)
    assert world.task.age == 5.0
    assert world.task.confirmation_age_ms() == UNKNOWN_AGE_MS


def play(world: World, holds) -> None:
    async def inner() -> None:
        world.task.start()
        try:
            await until(holds)
        finally:
            world.task.close()

    asyncio.run(inner())


def test_what_the_store_is_known_to_have_reached_is_handed_on():
    """One question answers for all that the store has not changed since."""
    world = World(clock=MonotonicClock())
    play(world, lambda: world.heard.told)
    assert (world.held.looks[0], world.other.looks[0]) == (0, 9)
    assert len(set(world.heard.told)) == 3


def test_a_store_that_does_not_answer_is_asked_again_and_nobody_is_told():
    world = World(clock=MonotonicClock())
    world.held.down = True
    play(world, lambda: len(world.held.looks) >= 3)
    assert world.heard.told == []
    assert world.counters.events["confirmation.unanswered"] >= 2
