"""Tests of the distribution of client-account tokens between nodes."""

from random import Random

from rattanfork_core.client_accounts import AccountIndex, ClientAccount
from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import (
    Member,
    Membership,
    MemberStatus,
    QuotaReply,
    QuotaRequest,
)
from rattanfork_core.quota import QuotaBound, QuotaDecision
from rattanfork_node.member.quota_task import QuotaTask

CLERKS = ClientAccount("clerks", rate=20, burst=20)


class FakeGossipTask:
    """Records sent messages."""

    def __init__(self) -> None:
        self.direct_handlers: dict = {}
        self.sent: list = []

    def send(self, message, address) -> None:
        self.sent.append((message, address))


class Node:
    """One node of a fleet; the test acts as the network."""

    def __init__(self, number: int, size: int = 6) -> None:
        self.clock = ManualClock(100.0)
        members = [
            Member(f"n{n}", "b", "s", "dc", "127.0.0.1", n + 1, n + 1, 8)
            for n in range(size)
        ]
        self.membership = Membership(self.clock, Random(1), members[number])
        self.membership.merge(m for m in members if m is not members[number])
        self.members = members
        self.gossip_task = FakeGossipTask()
        self.index: AccountIndex | None = AccountIndex({CLERKS: ["k"]})
        self.joined = True
        self.task = QuotaTask(
            self.clock,
            Random(1),
            self.membership,
            self.gossip_task,
            QuotaBound(),
            lambda: self.index,
            lambda: self.joined,
        )
        self.membership.on_status = self.task.on_status_change
        self.verdicts: list[QuotaDecision] = []

    def take(self) -> None:
        decided = self.verdicts.append
        self.task.leases.take(CLERKS, lambda verdict, after: decided(verdict))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            self.task.tick()

    @property
    def order(self) -> list[str]:
        return self.task._issuer_order("clerks")


def issuer_number() -> int:
    name = Node(0).order[0]
    return int(name[1 : name.index("@")])


def test_issuer_order_is_the_same_at_all_nodes():
    orders = {tuple(Node(number).order) for number in range(6)}
    assert len(orders) == 1


def test_issuer_grants_its_own_requests_locally():
    node = Node(issuer_number())
    node.take()
    assert node.verdicts == [QuotaDecision.GRANTED]
    assert node.gossip_task.sent == []


def test_other_nodes_request_tokens_from_the_issuer():
    number = issuer_number()
    node = Node((number + 1) % 6)
    node.take()
    [(request, address)] = node.gossip_task.sent
    assert address == node.members[number].address
    node.task.on_reply(QuotaReply(request.number, 1, 0), address)
    assert node.verdicts == [QuotaDecision.GRANTED]


def test_request_goes_to_the_next_issuer_when_the_first_does_not_answer():
    node = Node((issuer_number() + 1) % 6)
    node.take()
    node.run(0.3)
    addresses = [address for _, address in node.gossip_task.sent]
    first, second = (node.membership.members[name].address for name in node.order[:2])
    assert addresses[:2] == [first, first]
    me = node.membership.me.address
    assert len(addresses) == 2 or addresses[2] == second or second == me


def test_suspected_issuer_is_removed_from_the_order():
    node = Node((issuer_number() + 1) % 6)
    first = node.order[0]
    suspect = node.membership.members[first].replace(status=MemberStatus.SUSPECT)
    node.membership.merge([suspect])
    assert first not in node.order


def test_node_that_has_not_joined_issues_nothing():
    """Guards against limits multiplied by starting nodes that know no other node."""
    node = Node(issuer_number())
    node.joined = False
    node.task.on_request(QuotaRequest(1, "n5@b", "clerks", 1), ("127.0.0.1", 6))
    assert node.gossip_task.sent == []


def test_request_for_an_unknown_account_gets_no_reply():
    node = Node(issuer_number())
    node.index = None
    node.task.on_request(QuotaRequest(1, "n5@b", "clerks", 1), ("127.0.0.1", 6))
    assert node.gossip_task.sent == []


def test_unanswered_request_is_decided_as_unreachable():
    node = Node((issuer_number() + 1) % 6)
    node.joined = False
    node.take()
    node.run(1.0)
    assert node.verdicts == [QuotaDecision.UNREACHABLE]


def test_account_is_in_doubt_until_a_failed_prior_issuer_is_replaced():
    node = Node((issuer_number() + 1) % 6)
    first = node.order[0]
    known = node.membership.members[first]
    node.membership.merge([known.replace(status=MemberStatus.SUSPECT)])
    assert node.task._in_doubt("clerks")
    node.membership.merge([known.replace(boot="c")])
    assert not node.task._in_doubt("clerks")


def test_established_issuer_grants_a_burst():
    """Guards against a view that is refreshed only on the first request."""
    node = Node(issuer_number())
    node.run(10.0)
    for _ in range(20):
        node.take()
    assert node.verdicts == [QuotaDecision.GRANTED] * 20


def test_records_of_former_processes_change_neither_order_nor_fleet_size():
    """Guards against halved limits after a restart of all nodes."""
    node = Node(issuer_number())
    order = [name.partition("@")[0] for name in node.order]
    gone = [m.replace(boot="a") for m in node.members]
    node.membership.merge(gone)
    assert [name.partition("@")[0] for name in node.order] == order
    assert node.task._count_alive() == 6
    node.membership.merge(m.replace(status=MemberStatus.SUSPECT) for m in gone)
    assert not any(node.task._in_doubt(name) for name in ("a", "b", "clerks"))
