"""Watches that a stalled store accepts and never completes.

Guards against nodes that keep an old configuration although the store answers.  When
the store ends all watches and stalls, nodes watch again at once; the store drops these
calls without an error.  Until its wait expires, a dropped watch looks like one without
changes, so a change accepted meanwhile must be found by a poll or through a peer.
"""

import asyncio
from functools import wraps
from random import Random

import orjson
from rattanfork_core.revision import RevisionState, RulesRecord
from rattanfork_core.revision.record import HEAD_KEY, history_key
from rattanfork_platform import Row, Rows

from rattanfork_node.config.rules_watcher import RulesWatcher
from rattanfork_node.config.tests.fakes import FakePlatform, wait_until
from rattanfork_node.config.tests.test_configuration_task import Harness
from rattanfork_node.telemetry import Counters


class WatchDroppingPlatform(FakePlatform):
    """Store that answers reads and drops watches on request."""

    def __init__(self) -> None:
        super().__init__()
        self.drops_watches = False
        self.dropped_watches = 0

    async def watch(self, table: str, after: int, wait: float) -> Rows:
        if self.drops_watches:
            self.dropped_watches += 1
            self._call("watch")
            await asyncio.Event().wait()
        return await super().watch(table, after, wait)

    async def read(self, key: str) -> Row:
        self._call("read")
        table, _, name = key.partition("/")
        return Row(1, orjson.loads(self.tables[table][name]))


class WatchDroppingHarness(Harness):
    """Configuration and confirmation tasks on a store that drops watches."""

    make_platform = WatchDroppingPlatform


def with_watch_dropping_harness(test):
    @wraps(test)
    def run():
        async def inner():
            harness = WatchDroppingHarness()
            try:
                await test(harness)
            finally:
                harness.close()

        asyncio.run(inner())

    del run.__wrapped__
    return run


@with_watch_dropping_harness
async def test_change_is_applied_when_the_watch_was_dropped(harness):
    harness.write(b"1")
    harness.platform.drops_watches = True
    harness.start()
    await wait_until(lambda: harness.platform.dropped_watches == 1)
    harness.write(b"2")
    await wait_until(lambda: harness.holder.version == 2)


@with_watch_dropping_harness
async def test_watch_that_missed_a_change_is_replaced(harness):
    """A poll finds a change that the watch should have reported.

    The watch is dead, so the next change must not depend on it either.
    """
    harness.write(b"1")
    harness.platform.drops_watches = True
    harness.start()
    await wait_until(lambda: harness.platform.dropped_watches == 1)
    harness.write(b"2")
    await wait_until(lambda: harness.platform.dropped_watches == 2)
    assert harness.holder.version == 2


def test_rules_are_applied_when_their_watch_was_dropped():
    async def inner():
        harness = WatchDroppingHarness()
        platform = harness.platform
        platform.drops_watches = True
        state = RevisionState(1)
        watch = RulesWatcher(
            Random(1),
            state,
            platform,
            harness.membership,
            harness.peers,
            Counters(),
        )
        harness.replicas.append(watch)
        watch.start()
        harness.start()
        try:
            await wait_until(lambda: state.ready and platform.dropped_watches == 2)
            text = "rules: []"
            record = RulesRecord(1, "op-1", "me", "first", text)
            for row in (history_key(1), HEAD_KEY):
                table, _, key = row.partition("/")
                platform.put(table, key, orjson.dumps(record.as_row()))
            await wait_until(lambda: state.revision == 1)
        finally:
            watch.close()
            harness.close()

    asyncio.run(inner())


def test_rules_announced_by_a_peer_are_fetched_from_it():
    """A peer found newer rules by polling and gossips their revision."""

    async def inner():
        harness = WatchDroppingHarness()
        harness.platform.drops_watches = True
        state = RevisionState(1)
        watch = RulesWatcher(
            Random(1),
            state,
            harness.platform,
            harness.membership,
            harness.peers,
            Counters(),
            lambda: harness.gossip_task.newest_rules,
        )
        watch.start()
        try:
            await wait_until(lambda: harness.platform.dropped_watches == 1)
            harness.peers.record = RulesRecord(3, "op-3", "me", "third", "rules: []")
            harness.gossip_task.newest_rules = 3
            await wait_until(lambda: state.revision == 3)
            await wait_until(lambda: harness.platform.dropped_watches == 2)
        finally:
            watch.close()

    asyncio.run(inner())


class SilentPlatform(FakePlatform):
    """Store that never answers a scan."""

    async def scan(self, table: str, key: str = "") -> Rows:
        self._call("scan")
        return await asyncio.Event().wait()


class SilentHarness(Harness):
    """Configuration and confirmation tasks on a store silent from the start."""

    make_platform = SilentPlatform


def test_starting_node_fetches_from_peers_while_the_store_is_silent():
    """Guards against a restarted node that refuses requests while the store is silent.

    Calls to the store time out after 1.5 s.  If a peer were polled only after each
    time-out, the node would refuse requests for four seconds.
    """

    async def inner():
        harness = SilentHarness()
        harness.peers.version, harness.peers.document = 4, b"4"
        state = RevisionState(2)
        watch = RulesWatcher(
            Random(1),
            state,
            harness.platform,
            harness.membership,
            harness.peers,
            Counters(),
        )
        harness.start()
        watch.start()
        try:
            await wait_until(lambda: harness.holder.version == 4)
            await wait_until(lambda: state.ready)
        finally:
            watch.close()
            harness.close()

    asyncio.run(inner())
