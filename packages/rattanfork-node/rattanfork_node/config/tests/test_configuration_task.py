"""Tests of fetching configurations from the store and from peers."""

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
    FakeGossipTask,
    FakePeers,
    FakePlatform,
    member,
    wait_until,
)
from rattanfork_node.telemetry import Counters


class Harness:
    """Configuration and confirmation tasks with a fake store and peer."""

    make_platform = FakePlatform

    def __init__(self) -> None:
        self.platform = self.make_platform()
        self.peers = FakePeers()
        self.counters = Counters()
        self.holder = ConfigurationHolder(lambda d: Configuration(int(d), (), {}))
        self.membership = Membership(MonotonicClock(), Random(1), member("me"))
        self.membership.merge([member("peer")])
        self.gossip_task = FakeGossipTask()
        self.is_watcher = True
        self.task = ConfigurationTask(
            MonotonicClock(),
            Random(1),
            self.holder,
            self.platform,
            "op",
            "config",
            self.membership,
            self.gossip_task,
            self.peers,
            self.counters,
            lambda: self.is_watcher,
        )
        self.replicas = [self.task]
        self.confirmation = ConfirmationTask(
            Random(1),
            ConfirmationSchedule(MonotonicClock(), Random(1)),
            RoleAssignment(self.membership, "confirmation", 4),
            self.gossip_task,
            self.replicas,
            self.counters,
        )

    def start(self) -> None:
        """Start both tasks."""
        self.task.start()
        self.confirmation.start()

    def close(self) -> None:
        """Stop both tasks."""
        self.task.close()
        self.confirmation.close()

    def write(self, document: bytes) -> None:
        self.platform.put("op", "config", document)


def with_harness(test):
    @wraps(test)
    def run():
        async def inner():
            harness = Harness()
            try:
                await test(harness)
            finally:
                harness.task.close()

        asyncio.run(inner())

    del run.__wrapped__
    return run


@with_harness
async def test_configuration_is_read_at_start_and_then_watched(harness):
    harness.write(b"3")
    harness.task.start()
    await wait_until(lambda: harness.holder.version == 3)
    harness.write(b"5")
    await wait_until(lambda: harness.holder.version == 5)
    assert harness.platform.calls.count("scan") == 1
    assert harness.platform.calls.count("watch") <= 3


@with_harness
async def test_truncated_history_leads_to_a_new_scan(harness):
    """Guards against a missed change when the store has truncated its history.

    The watch fails instead of waiting, and the row is read again.
    """
    harness.write(b"1")
    harness.platform.history_lost = True
    harness.task.start()
    await wait_until(lambda: harness.platform.calls.count("scan") == 2)
    harness.write(b"2")
    await wait_until(lambda: harness.holder.version == 2)


@with_harness
async def test_node_that_is_no_watcher_reads_once(harness):
    """Guards against store load that grows with the fleet.

    With a watch on each of 17,000 nodes, every change would cause 17,000 calls; the
    store allows 2,000 reads per second.  Other nodes get changes from peers.
    """
    harness.is_watcher = False
    harness.write(b"1")
    harness.task.start()
    await wait_until(lambda: harness.holder.version == 1)
    harness.write(b"2")
    harness.peers.version, harness.peers.document = 2, b"2"
    harness.gossip_task.newest_configuration = 2
    await wait_until(lambda: harness.holder.version == 2)
    assert harness.platform.calls == ["scan"]


@with_harness
async def test_node_that_becomes_a_watcher_finds_missed_changes(harness):
    """Guards against a change lost when all watching nodes fail together.

    No node has announced it.  A successor watches from the version of its last
    read, so its first watch returns the change.
    """
    harness.is_watcher = False
    harness.write(b"1")
    harness.task.start()
    await wait_until(lambda: harness.holder.version == 1)
    harness.write(b"2")
    harness.is_watcher = True
    await wait_until(lambda: harness.holder.version == 2)


@with_harness
async def test_change_is_fetched_from_a_peer_while_the_store_rejects_calls(harness):
    """The store rejects only this node's calls while the operator makes a change.

    The node sees the newer version in gossip and fetches the document from a peer.
    """
    harness.write(b"1")
    harness.task.start()
    await wait_until(lambda: harness.holder.version == 1)
    harness.platform.disconnect()
    harness.peers.version, harness.peers.document = 4, b"4"
    harness.gossip_task.newest_configuration = 4
    await wait_until(lambda: harness.holder.version == 4)
    assert harness.holder.document == b"4"


@with_harness
async def test_starting_node_fetches_from_peers_while_the_store_is_down(harness):
    harness.platform.down = True
    harness.peers.version, harness.peers.document = 7, b"7"
    harness.task.start()
    await wait_until(lambda: harness.holder.version == 7)


@with_harness
async def test_older_configuration_of_a_peer_is_ignored(harness):
    harness.write(b"9")
    harness.task.start()
    await wait_until(lambda: harness.holder.version == 9)
    harness.peers.version, harness.peers.document = 8, b"8"
    harness.gossip_task.newest_configuration = 10
    await wait_until(lambda: harness.peers.request_count >= 2)
    assert harness.holder.version == 9


@with_harness
async def test_malformed_document_is_counted_and_the_last_one_stays(harness):
    harness.write(b"1")
    harness.task.start()
    await wait_until(lambda: harness.holder.version == 1)
    harness.write(b"nonsense")
    await wait_until(lambda: harness.counters.events["configuration.malformed"] == 1)
    assert harness.holder.version == 1
    harness.write(b"2")
    await wait_until(lambda: harness.holder.version == 2)


@with_harness
async def test_first_request_goes_to_the_peer_that_announced_the_change(harness):
    """Guards against slow dissemination by requests to random peers.

    Of 300 nodes only the announcing one holds the change.  With random peers it
    takes two and a half seconds until all nodes of such a fleet hold it.
    """
    harness.membership.merge(
        member(f"n{n}")._replace(peer_port=100 + n) for n in range(300)
    )
    harness.task.start()
    harness.peers.version, harness.peers.document = 4, b"4"
    harness.gossip_task.configuration_source = member("n7")._replace(peer_port=107)
    harness.gossip_task.newest_configuration = 4
    await wait_until(lambda: harness.holder.version == 4)
    assert harness.peers.addresses == [("127.0.0.1", 107)]


@with_harness
async def test_next_request_goes_to_another_peer_when_the_announcing_one_fails(harness):
    harness.task.start()
    harness.peers.reachable = False
    harness.gossip_task.configuration_source = member("n7")._replace(peer_port=107)
    harness.gossip_task.newest_configuration = 4
    await wait_until(lambda: len(harness.peers.addresses) >= 3)
    assert harness.peers.addresses[:2] == [("127.0.0.1", 107), ("127.0.0.1", 1)]
