"""Tests of the exchange of account demand between nodes."""

from random import Random

import pytest
from rattanfork_core.clock import ManualClock
from rattanfork_core.fair_shares import (
    DemandReport,
    DemandTotals,
    FairShares,
    TotalsTable,
    account_hash,
)
from rattanfork_core.membership import (
    LeaseRequest,
    Member,
    Membership,
    encode_gossip,
)
from rattanfork_node.member import GossipTask, demand_task
from rattanfork_node.member.demand_task import DemandTask
from rattanfork_node.telemetry import Counters

KEY = b"key"


class Harness:
    """A node whose datagrams are recorded instead of sent."""

    def __init__(self, size: int = 5, has_accounts: bool = True) -> None:
        self.clock = ManualClock(100.0)
        self.membership = Membership(self.clock, Random(1), record("n0"))
        self.membership.merge(record(f"n{n}") for n in range(1, size))
        self.counters = Counters()
        self.gossip_task = GossipTask(
            self.clock, Random(1), self.membership, None, KEY, [], self.counters
        )
        self.sent: list[tuple[str, object]] = []
        self.gossip_task._send = self._record
        self.totals = TotalsTable(self.clock)
        self.shares = FairShares(self.clock, self.totals)
        self.has_accounts = has_accounts
        self.task = DemandTask(
            self.clock,
            Random(1),
            self.membership,
            self.gossip_task,
            self.shares,
            self.totals,
            lambda: self.has_accounts,
        )

    def _record(self, data, address) -> None:
        self.sent.append((address[0], data))

    def receive(self, message) -> None:
        data = encode_gossip(message, KEY)
        self.gossip_task.datagram_received(data, ("n1", 1))

    def tick(self, count: int = 1) -> None:
        for _ in range(count):
            self.clock.advance(0.1)
            self.task.tick()


def record(name: str) -> Member:
    return Member(name, "b", "s", "dc1", name, 1, 1, 8)


@pytest.fixture(autouse=True)
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        demand_task, "log_change", lambda kind, **fields: lines.append((kind, fields))
    )
    return lines


def test_nothing_is_sent_without_overload(logged):
    harness = Harness()
    harness.tick(50)
    assert not harness.sent
    assert not logged
    gauges = harness.task.gauges()
    assert gauges == {"fair_share_active": 0, "fair_share_collector": 0}


def test_nothing_is_done_without_client_accounts():
    """Reports and totals of nodes with another configuration are ignored."""
    harness = Harness(has_accounts=False)
    harness.receive(DemandReport(2, 900, ((7, 50),)))
    harness.receive(DemandTotals("n1@b", 1, 2, ((7, 50),), 0, 0))
    harness.tick(20)
    assert not harness.sent
    assert len(harness.totals) == 0
    assert harness.task.gauges() == {}
    assert not harness.counters.events


def test_state_is_dropped_when_accounts_are_removed(logged):
    harness = Harness()
    harness.shares.rank(2, "a", 0.5, 2.5)
    harness.tick(5)
    harness.has_accounts = False
    harness.tick(1)
    harness.has_accounts = True
    assert harness.task.gauges()["fair_share_active"] == 0
    assert [kind for kind, _ in logged] == ["fair_shares_on", "fair_shares_off"]


def test_counts_are_reported_twice_a_second_to_two_nodes():
    harness = Harness()
    for _ in range(20):
        harness.shares.rank(2, "a", 0.5, 2.5)
        harness.tick()
    addresses = [address for address, _ in harness.sent]
    own = harness.task._candidate_names()[:2].count("n0@b")
    assert len(addresses) == 4 * (2 - own)


def test_report_that_a_collector_receives_is_sent_to_all_as_totals():
    harness = Harness()
    harness.receive(DemandReport(2, 900, ((account_hash("a"), 50),)))
    harness.tick(5)
    assert sorted(address for address, _ in harness.sent) == ["n1", "n2", "n3", "n4"]
    assert harness.task.gauges()["fair_share_collector"] == 1
    rank = harness.shares.rank(2, "a", 0.5, 2.5)
    assert (rank.demand, rank.from_fleet) == (50, True)


def test_node_of_a_large_fleet_forwards_totals_to_two_others():
    harness = Harness(size=300)
    harness.receive(DemandTotals("n1@b", 1, 2, ((7, 50),), 0, 0))
    harness.tick(10)
    assert len(harness.sent) == 6


def test_beginning_and_end_are_logged_once(logged):
    harness = Harness()
    for _ in range(100):
        harness.shares.rank(2, "a", 0.5, 2.5)
        harness.tick()
    harness.tick(40)
    assert logged == [
        ("fair_shares_on", {"importance": 2}),
        ("fair_shares_off", {"importance": 2}),
    ]


def test_gauges_show_the_rate_that_accounts_get_and_how_many_are_limited():
    harness = Harness()
    demands = tuple((account_hash(f"a{i}"), 20 if i else 120) for i in range(76))
    harness.receive(DemandTotals("n1@b", 1, 2, demands, 0, 0))
    harness.shares.rank(2, "a0", 0.5, 2.95)
    gauges = harness.task.gauges()
    assert gauges["fair_share_rate_2"] == pytest.approx(19.5, abs=0.1)
    assert gauges["fair_share_limited_accounts_2"] == 1
    assert gauges["fair_share_by_fleet_2"] == 1


def test_malformed_and_unknown_datagrams_are_counted_and_not_logged(logged):
    """Guards against a log line for each datagram of another build."""
    harness = Harness()
    bad = DemandReport(2, 900, ((7, 0),))
    for _ in range(100):
        harness.receive(bad)
    assert harness.counters.events["gossip.refused"] == 100
    assert not logged
    harness.receive(DemandReport(2, 900, ((7, 1),)))
    assert harness.counters.events["gossip.refused"] == 100


def test_other_direct_messages_are_still_dispatched():
    harness = Harness()
    received = []
    harness.gossip_task.direct_handlers[LeaseRequest] = lambda m, a: received.append(m)
    harness.receive(LeaseRequest(7))
    assert received == [LeaseRequest(7)]
