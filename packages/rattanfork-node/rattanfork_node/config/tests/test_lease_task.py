"""Tests of configuration leases that nodes renew from each other."""

from random import Random

import pytest
from rattanfork_core.client_accounts import AccountIndex, ClientAccount
from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import (
    UNKNOWN_AGE_MS,
    LeaseReply,
    LeaseRequest,
    Membership,
    RoleAssignment,
)
from rattanfork_core.revision import ConfigurationLease
from rattanfork_core.routes import Configuration

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.config.lease_task import LeaseTask
from rattanfork_node.config.tests.fakes import member


class FakeGossipTask:
    """Records sent messages."""

    def __init__(self) -> None:
        self.direct_handlers: dict = {}
        self.sent: list = []
        self.newest_configuration = 0

    def send(self, message, address) -> None:
        self.sent.append((message, address))

    def observe_configuration(self, version: int) -> None:
        self.newest_configuration = max(version, self.newest_configuration)


class Node:
    """Node that renews its lease; the test acts as its peers and the store."""

    def __init__(self, accounts: bool = True, version: int = 5) -> None:
        self.clock = ManualClock(100.0)
        index = AccountIndex({ClientAccount("a"): ["k"]}) if accounts else None
        holder = ConfigurationHolder(
            lambda _: Configuration(version, (), {}, accounts=index)
        )
        holder.offer(b"-")
        members = [member(f"n{number}") for number in range(12)]
        self.peers = members[1:]
        membership = Membership(self.clock, Random(1), members[0])
        membership.merge(self.peers)
        self.gossip_task = FakeGossipTask()
        self.lease = ConfigurationLease(self.clock)
        self.store_polls = 0
        self.renewed = 0
        self.task = LeaseTask(
            Random(1),
            self.lease,
            holder,
            membership,
            RoleAssignment(membership, "confirmation", 4),
            self.gossip_task,
            self._poll_store,
        )
        self.task.on_renewed = self._count_renewal

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            self.task.tick()

    @property
    def requests(self) -> list:
        sent = self.gossip_task.sent
        return [each for each in sent if isinstance(each[0], LeaseRequest)]

    def _poll_store(self) -> None:
        self.store_polls += 1

    def _count_renewal(self) -> None:
        self.renewed += 1


def test_request_goes_to_the_peer_with_the_newest_confirmation():
    node = Node()
    node.lease.confirm(node.clock.now())
    node.clock.advance(1.0)
    node.task.on_confirmation_age(node.peers[3], 300)
    node.task.on_confirmation_age(node.peers[7], 50)
    node.run(0.1)
    [(_, address)] = node.requests
    assert address == node.peers[7].address


def test_reply_renews_the_lease_as_of_the_request():
    node = Node()
    node.run(0.1)
    request, _ = node.requests[0]
    node.clock.advance(0.4)
    node.task.on_reply(LeaseReply(request.number, 5, 200), ("127.0.0.1", 1))
    assert round(node.lease.age, 3) == 0.6
    assert node.renewed == 1


def test_reply_for_a_newer_configuration_does_not_renew():
    """Guards against accepting API keys that the newer configuration revokes."""
    node = Node(version=5)
    node.run(0.1)
    request, _ = node.requests[0]
    node.task.on_reply(LeaseReply(request.number, 6, 0), ("127.0.0.1", 1))
    assert node.lease.age == float("inf")
    assert node.gossip_task.newest_configuration == 6


def test_reply_without_a_confirmation_does_not_renew():
    node = Node()
    node.run(0.1)
    request, _ = node.requests[0]
    node.task.on_reply(LeaseReply(request.number, 5, UNKNOWN_AGE_MS), ("127.0.0.1", 1))
    assert node.lease.age == float("inf")


def test_reply_holds_the_local_lease_age():
    node = Node()
    node.task.on_request(LeaseRequest(3), ("127.0.0.1", 9))
    node.lease.confirm(node.clock.now())
    node.clock.advance(0.25)
    node.task.on_request(LeaseRequest(4), ("127.0.0.1", 9))
    replies = [message for message, _ in node.gossip_task.sent]
    assert replies == [LeaseReply(3, 5, UNKNOWN_AGE_MS), LeaseReply(4, 5, 250)]


def test_store_is_polled_only_when_peers_do_not_renew():
    """Guards against store load that grows with the fleet."""
    node = Node()
    for _ in range(20):
        node.lease.confirm(node.clock.now())
        node.run(0.5)
    assert node.store_polls == 0
    node.run(5.0)
    assert 2 <= node.store_polls <= 8


@pytest.mark.parametrize("seconds", [1.0, 10.0])
def test_nothing_is_sent_without_client_accounts(seconds):
    node = Node(accounts=False)
    node.run(seconds)
    assert node.gossip_task.sent == []
    assert node.store_polls == 0


def test_waiting_request_triggers_an_early_renewal():
    node = Node()
    node.lease.confirm(node.clock.now())
    node.run(0.3)
    assert node.requests == []
    node.task.renew_soon()
    node.run(0.1)
    assert node.requests
