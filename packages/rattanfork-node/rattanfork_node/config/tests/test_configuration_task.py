"""A node learns configurations from the store, and from peers without it."""

import asyncio
from functools import wraps
from random import Random

from rattanfork_core.clock import MonotonicClock
from rattanfork_core.membership import Membership, RoleAssignment
from rattanfork_core.revision import ConfirmationSchedule
from rattanfork_core.routes import Configuration

from rattanfork_node.config.configuration_task import ConfigurationTask
from rattanfork_node.config.confirmation_task import ConfirmationTask
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.config.tests.fakes import (
    FakeMemberTask,
    FakePeers,
    FakePlatform,
    member,
    until,
)
from rattanfork_node.telemetry import Counters


class World:
    """A configuration task with a store and a peer."""

    make_platform = FakePlatform

    def __init__(self) -> None:
        self.platform = self.make_platform()
        self.peers = FakePeers()
        self.counters = Counters()
        self.holder = ConfigurationHolder(lambda d: Configuration(int(d), (), {}))
        self.membership = Membership(MonotonicClock(), Random(1), member("me"))
        self.membership.merge([member("peer")])
        self.heard = FakeMemberTask()
        self.on_duty = True
        self.task = ConfigurationTask(
            MonotonicClock(),
            Random(1),
            self.holder,
            self.platform,
            "op",
            "config",
            self.membership,
            self.heard,
            self.peers,
            self.counters,
            lambda: self.on_duty,
        )
        self.followers = [self.task]
        self.confirmation = ConfirmationTask(
            Random(1),
            ConfirmationSchedule(MonotonicClock(), Random(1)),
            RoleAssignment(self.membership, "confirmation", 4),
            self.heard,
            self.followers,
            self.counters,
        )

    def start(self) -> None:
        """Start all that the world has."""
        self.task.start()
        self.confirmation.start()

    def close(self) -> None:
        """Stop all."""
        self.task.close()
        self.confirmation.close()

    def write(self, document: bytes) -> None:
        self.platform.put("op", "config", document)


def with_world(test):
    @wraps(test)
    def run():
        async def inner():
            world = World()
            try:
                await test(world)
            finally:
                world.task.close()

        asyncio.run(inner())

    del run.__wrapped__
    return run


@with_world
async def test_the_newest_is_read_at_the_start_and_changes_come_by_one_watch(world):
    world.write(b"3")
    world.task.start()
    await until(lambda: world.holder.version == 3)
    world.write(b"5")
    await until(lambda: world.holder.version == 5)
    assert world.platform.calls.count("scan") == 1
    assert world.platform.calls.count("watch") <= 3


@with_world
async def test_a_lost_history_is_made_good_by_reading_anew(world):
    """The store drops its history while a change is made.

    The watch would never tell of the change; it is ended instead, and the
    row is read again.
    """
    world.write(b"1")
    world.platform.forgetful = True
    world.task.start()
    await until(lambda: world.platform.calls.count("scan") == 2)
    world.write(b"2")
    await until(lambda: world.holder.version == 2)


@with_world
async def test_who_is_not_on_duty_reads_once_and_does_not_watch(world):
    """Seventeen thousand nodes with a watch each are as many calls a change.

    The store allows two thousand reads a second.  A node that others watch for
    reads the row when it starts, and hears of a change from a peer.
    """
    world.on_duty = False
    world.write(b"1")
    world.task.start()
    await until(lambda: world.holder.version == 1)
    world.write(b"2")
    world.peers.version, world.peers.document = 2, b"2"
    world.heard.newest_configuration = 2
    await until(lambda: world.holder.version == 2)
    assert world.platform.calls == ["scan"]


@with_world
async def test_a_duty_that_comes_later_finds_what_was_missed(world):
    """The nodes that watched are killed together, and a change falls between.

    Nobody has told of it.  Who takes over watches from where it last looked, so
    the first watch brings the change.
    """
    world.on_duty = False
    world.write(b"1")
    world.task.start()
    await until(lambda: world.holder.version == 1)
    world.write(b"2")
    world.on_duty = True
    await until(lambda: world.holder.version == 2)


@with_world
async def test_a_peer_tells_what_the_store_does_not(world):
    """The store turns this node away while the operator makes a change.

    Its peers have the change; it hears of the version and asks one.
    """
    world.write(b"1")
    world.task.start()
    await until(lambda: world.holder.version == 1)
    world.platform.cut()
    world.peers.version, world.peers.document = 4, b"4"
    world.heard.newest_configuration = 4
    await until(lambda: world.holder.version == 4)
    assert world.holder.document == b"4"


@with_world
async def test_a_fresh_node_asks_peers_while_the_store_is_away(world):
    world.platform.down = True
    world.peers.version, world.peers.document = 7, b"7"
    world.task.start()
    await until(lambda: world.holder.version == 7)


@with_world
async def test_an_older_configuration_of_a_peer_changes_nothing(world):
    world.write(b"9")
    world.task.start()
    await until(lambda: world.holder.version == 9)
    world.peers.version, world.peers.document = 8, b"8"
    world.heard.newest_configuration = 10
    await until(lambda: world.peers.asked >= 2)
    assert world.holder.version == 9


@with_world
async def test_a_malformed_document_is_counted_and_the_last_one_holds(world):
    world.write(b"1")
    world.task.start()
    await until(lambda: world.holder.version == 1)
    world.write(b"nonsense")
    await until(lambda: world.counters.events["configuration.malformed"] == 1)
    assert world.holder.version == 1
    world.write(b"2")
    await until(lambda: world.holder.version == 2)


@with_world
async def test_who_told_of_a_change_is_asked_for_it_first(world):
    """One of three hundred nodes holds a change, and has told this one.

    The others have not heard yet; asked at random they would cost a fleet of that
    size two and a half seconds until all hold it.
    """
    world.membership.merge(
        member(f"n{n}")._replace(peer_port=100 + n) for n in range(300)
    )
    world.task.start()
    world.peers.version, world.peers.document = 4, b"4"
    world.heard.configuration_source = member("n7")._replace(peer_port=107)
    world.heard.newest_configuration = 4
    await until(lambda: world.holder.version == 4)
    assert world.peers.addresses == [("127.0.0.1", 107)]


@with_world
async def test_another_is_asked_when_who_told_does_not_answer(world):
    world.task.start()
    world.peers.reachable = False
    world.heard.configuration_source = member("n7")._replace(peer_port=107)
    world.heard.newest_configuration = 4
    await until(lambda: len(world.peers.addresses) >= 3)
    assert world.peers.addresses[:2] == [("127.0.0.1", 107), ("127.0.0.1", 1)]
