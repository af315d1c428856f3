"""A store that takes a watch while it is silent, and never answers it.

What is seen: no node handles requests by a configuration that was accepted many
seconds ago, and none says that the store is lost.  What happens: the store ends
all watches; the nodes watch again at once, while the store is silent; it takes the
calls and forgets them.  Then it answers again, and a change is accepted.  Cause: to
wait for a change and to wait for nothing look alike until the watch's time is over.
Proved by the calls that were under way: both watches of every node, made while the
store was silent, waited ever since on new connections.
"""

import asyncio
from functools import wraps
from random import Random

import orjson
from rattanfork_core.revision import RevisionState, RulesRecord
from rattanfork_core.revision.record import HEAD_KEY, history_key
from rattanfork_platform import Row, Rows

from rattanfork_node.config.rules_watcher import RulesWatcher
from rattanfork_node.config.tests.fakes import FakePlatform, until
from rattanfork_node.config.tests.test_configuration_task import World
from rattanfork_node.telemetry import Counters


class SwallowingPlatform(FakePlatform):
    """A store that answers reads, and forgets the watches it is asked for."""

    def __init__(self) -> None:
        super().__init__()
        self.swallows = False
        self.swallowed = 0

    async def watch(self, table: str, after: int, wait: float) -> Rows:
        if self.swallows:
            self.swallowed += 1
            self._call("watch")
            await asyncio.Event().wait()
        return await super().watch(table, after, wait)

    async def read(self, key: str) -> Row:
        self._call("read")
        table, _, name = key.partition("/")
        return Row(1, orjson.loads(self.tables[table][name]))


class SwallowingWorld(World):
    """A configuration task whose store may swallow watches."""

    make_platform = SwallowingPlatform


def with_swallowing_world(test):
    @wraps(test)
    def run():
        async def inner():
            world = SwallowingWorld()
            try:
                await test(world)
            finally:
                world.close()

        asyncio.run(inner())

    del run.__wrapped__
    return run


@with_swallowing_world
async def test_a_change_comes_into_force_though_the_watch_was_swallowed(world):
    world.write(b"1")
    world.platform.swallows = True
    world.start()
    await until(lambda: world.platform.swallowed == 1)
    world.write(b"2")
    await until(lambda: world.holder.version == 2)


@with_swallowing_world
async def test_a_watch_that_brought_no_news_is_made_anew(world):
    """A change was learned by another way than the watch that should bring it.

    That watch is dead: the next change must not wait for its end either.
    """
    world.write(b"1")
    world.platform.swallows = True
    world.start()
    await until(lambda: world.platform.swallowed == 1)
    world.write(b"2")
    await until(lambda: world.platform.swallowed == 2)
    assert world.holder.version == 2


def test_rules_come_into_force_though_their_watch_was_swallowed():
    async def inner():
        world = SwallowingWorld()
        platform = world.platform
        platform.swallows = True
        state = RevisionState(1)
        watch = RulesWatcher(
            Random(1),
            state,
            platform,
            world.membership,
            world.peers,
            Counters(),
        )
        world.followers.append(watch)
        watch.start()
        world.start()
        try:
            await until(lambda: state.ready and platform.swallowed == 2)
            text = "rules: []"
            record = RulesRecord(1, "op-1", "me", "first", text)
            for row in (history_key(1), HEAD_KEY):
                table, _, key = row.partition("/")
                platform.put(table, key, orjson.dumps(record.as_row()))
            await until(lambda: state.revision == 1)
        finally:
            watch.close()
            world.close()

    asyncio.run(inner())


def test_rules_that_another_node_holds_are_fetched_from_a_peer():
    """A peer has looked and found newer rules; its datagram names their revision."""

    async def inner():
        world = SwallowingWorld()
        world.platform.swallows = True
        state = RevisionState(1)
        watch = RulesWatcher(
            Random(1),
            state,
            world.platform,
            world.membership,
            world.peers,
            Counters(),
            lambda: world.heard.newest_rules,
        )
        watch.start()
        try:
            await until(lambda: world.platform.swallowed == 1)
            world.peers.record = RulesRecord(3, "op-3", "me", "third", "rules: []")
            world.heard.newest_rules = 3
            await until(lambda: state.revision == 3)
            await until(lambda: world.platform.swallowed == 2)
        finally:
            watch.close()

    asyncio.run(inner())


class SilentPlatform(FakePlatform):
    """A store that takes calls and answers none."""

    async def scan(self, table: str, key: str = "") -> Rows:
        self._call("scan")
        return await asyncio.Event().wait()


class SilentWorld(World):
    """A configuration task whose store is silent from the start."""

    make_platform = SilentPlatform


def test_a_fresh_node_does_not_wait_for_a_silent_store_before_it_asks_peers():
    """Callers are refused by a node that was restarted while the store is silent.

    Its peers hold the configuration and the rules.  A call to the store ends after
    1.5 s; with a peer asked after each the node was of no use for four seconds.
    """

    async def inner():
        world = SilentWorld()
        world.peers.version, world.peers.document = 4, b"4"
        state = RevisionState(2)
        watch = RulesWatcher(
            Random(1), state, world.platform, world.membership, world.peers, Counters()
        )
        world.start()
        watch.start()
        try:
            await until(lambda: world.holder.version == 4)
            await until(lambda: state.ready)
        finally:
            watch.close()
            world.close()

    asyncio.run(inner())
