"""Tests of retirements that outlive the process that acknowledged them."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from rattanfork_core.clock import MonotonicClock
from rattanfork_core.membership import Membership, RetirementUpdate
from rattanfork_core.retirement import Retirement
from rattanfork_node.config.tests.fakes import (
    FakePlatform,
    encode_rows,
    member,
    wait_until,
)
from rattanfork_node.member.join import JoinTask
from rattanfork_node.member.retirement_task import RetirementTask
from rattanfork_node.peer import PersistRequest
from rattanfork_node.relay.tests.fakes import on_loop
from rattanfork_node.telemetry import Counters


class FakeFleet:
    """Nodes that reach each other and a store each, all in this process.

    The stores of the nodes are one table, which each node may fail to reach.
    """

    def __init__(self, count: int) -> None:
        self.nodes: list[FakeNode] = []
        self.tables: dict = {}
        self.nodes = [FakeNode(self, f"n{number}") for number in range(count)]

    def restart(self, index: int) -> "FakeNode":
        """Replace a node by a new process of its instance."""
        reachable = not self.nodes[index].platform.down
        self.nodes[index].task.close()
        self.nodes[index] = FakeNode(self, f"n{index}")
        self.nodes[index].platform.down = not reachable
        return self.nodes[index]

    def node_at(self, address) -> "FakeNode":
        return self.nodes[address[1] - 1]


class FakeNode:
    """One process: its task, its membership view and its way to the store."""

    def __init__(self, fleet: FakeFleet, name: str) -> None:
        self.fleet = fleet
        self.platform = FakePlatform()
        self.platform.tables = fleet.tables
        encode_rows(self.platform)
        self.membership = Membership(MonotonicClock(), Random(1), member(name))
        self.gossip = FakeGossipTask(self)
        self.level = 2
        #: Whether it accepts requests without a response.
        self.hangs = False
        #: Seconds until it responds.
        self.delay = 0.0
        self.task = RetirementTask(
            MonotonicClock(),
            Random(1),
            self.platform,
            self.membership,
            self.gossip,
            self,
            Counters(),
        )
        self.join_task = JoinTask(
            Random(1),
            self.platform,
            self.membership,
            self.gossip,
            on_retirement=self.task.merge_record,
            on_joined=self.task.on_joined,
        )

    def meet(self, *others: "FakeNode") -> None:
        """Make others known to this node; their peer ports number them from 1."""
        for other in others:
            port = self.fleet.nodes.index(other) + 1
            self.membership.merge([other.membership.me.replace(peer_port=port)])

    async def open(self, address) -> SimpleNamespace:
        """Return a link to another node."""
        peer = self.fleet.node_at(address)
        return SimpleNamespace(
            peer_level=peer.level, next_number=lambda: 1, ask=peer.answer
        )

    async def answer(self, request):
        """Reply as the peer handler does."""
        if self.hangs:
            await asyncio.sleep(60)
        await asyncio.sleep(self.delay)
        if isinstance(request, PersistRequest):
            stored = await self.task.write_for_peer(request)
            return SimpleNamespace(stored=stored)
        return self.task.reply(request.number)

    async def learn(self) -> None:
        """Tick until the retirements of this instance are known."""
        while not self.task.known:
            self.task.tick()
            await asyncio.sleep(0.01)


class FakeGossipTask:
    """Delivers updates to all nodes but the sender, or to those that it has met."""

    def __init__(self, node: FakeNode) -> None:
        self._node = node
        self.reaches_all = True
        #: Updates that are lost before the next is delivered.
        self.lost = 0
        self.on_retirement_update = None

    def send_to_random(self, update: RetirementUpdate, count: int) -> None:
        met = {member.name for member in self._node.membership.present()}
        for other in self._node.fleet.nodes:
            if other is self._node:
                continue
            if not self.reaches_all and other.membership.me.name not in met:
                continue
            if self.lost:
                self.lost -= 1
            else:
                other.gossip.on_retirement_update(update)

    def add_seeds(self, seeds: list) -> None:
        """Ignore the addresses."""

    def introduce(self) -> None:
        """Ignore the introduction."""


@on_loop
async def test_retirement_is_stored_before_it_may_be_acknowledged():
    """Guards against a 200 that a power loss of all nodes revokes."""
    fleet = FakeFleet(1)
    [node] = fleet.nodes
    node.platform.down = True
    node.task.retire("u1", 1000)
    assert not await node.task.wait_stored("u1", 1000, 0.05)
    node.platform.down = False
    assert await node.task.wait_stored("u1", 1000, 5.0)
    fleet.restart(0)
    fleet.nodes[0].join_task.start()
    await wait_until(lambda: fleet.nodes[0].task.known)
    assert fleet.nodes[0].task.own == [Retirement("n0", "u1", 1000)]


@on_loop
async def test_stored_retirement_costs_one_call():
    """Guards against a call for each announcement of a leaving upstream."""
    [node] = FakeFleet(1).nodes
    for _ in range(3):
        node.task.retire("u1", 1000)
        assert await node.task.wait_stored("u1", 1000, 5.0)
    assert node.platform.calls == ["transact"]


@on_loop
async def test_peer_writes_for_a_node_that_the_store_turns_away():
    """Guards against leavings that stay unacknowledged in a partial outage."""
    fleet = FakeFleet(3)
    first, second, third = fleet.nodes
    first.platform.down = True
    first.meet(second, third)
    first.task.retire("u1", 1000)
    assert await first.task.wait_stored("u1", 1000, 5.0)
    assert sum(key.startswith("retired:n0:") for key in fleet.tables["members"]) == 1


@pytest.mark.parametrize("level", [2, 1])
@on_loop
async def test_started_node_asks_peers_while_the_store_is_unavailable(level):
    """Guards against an attached upstream whose leaving only other nodes remember.

    Nodes of an older build are not asked: they would close the connection.
    """
    fleet = FakeFleet(5)
    for node in fleet.nodes:
        node.task.on_joined()
    fleet.nodes[0].task.retire("u1", 1000)
    fleet.nodes[1].level = level
    fleet.nodes[0].platform.down = True
    node = fleet.restart(0)
    node.meet(*fleet.nodes[1:])
    assert not node.task.known
    await asyncio.wait_for(node.learn(), 10.0)
    assert node.task.own == [Retirement("n0", "u1", 1000)]


@on_loop
async def test_unreachable_peers_do_not_delay_the_start():
    """Guards against a healthy upstream that waits for one time-out after the other."""
    fleet = FakeFleet(6)
    for node in fleet.nodes:
        node.task.on_joined()
    fleet.nodes[1].hangs = fleet.nodes[2].hangs = True
    fleet.nodes[0].platform.down = True
    node = fleet.restart(0)
    node.meet(*fleet.nodes[1:])
    await asyncio.wait_for(node.learn(), 0.5)


@on_loop
async def test_one_complete_table_is_enough_if_no_other_node_has_one():
    """Guards against upstreams that stay unused as most nodes have just restarted."""
    fleet = FakeFleet(8)
    fleet.nodes[4].task.on_joined()
    for node in fleet.nodes:
        node.platform.down = True
    node = fleet.nodes[0]
    node.meet(*fleet.nodes[1:])
    await asyncio.wait_for(node.learn(), 5.0)


@on_loop
async def test_peer_that_knows_nothing_itself_does_not_stand_for_the_store():
    """Guards against nodes that restart together and take silence for an answer."""
    fleet = FakeFleet(3)
    for node in fleet.nodes:
        node.platform.down = True
    node = fleet.nodes[0]
    node.meet(*fleet.nodes[1:])
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(node.learn(), 0.3)
    for other in fleet.nodes[1:]:
        other.task.on_joined()
    await asyncio.wait_for(node.learn(), 10.0)


@on_loop
async def test_restored_store_gets_all_retirements_again():
    """Guards against a store that comes back from a copy without them."""
    fleet = FakeFleet(2)
    fleet.nodes[0].task.retire("u1", 1000)
    assert await fleet.nodes[0].task.wait_stored("u1", 1000, 5.0)
    fleet.tables.clear()
    await fleet.nodes[1].task.persist_all()
    node = fleet.restart(0)
    node.join_task.start()
    await wait_until(lambda: node.task.known)
    assert node.task.own == [Retirement("n0", "u1", 1000)]


async def _tick(node: FakeNode, seconds: float = 1.5) -> None:
    for _ in range(int(seconds / 0.1)):
        node.task.tick()
        await asyncio.sleep(0.01)


async def _rejoin(fleet: FakeFleet) -> FakeNode:
    """Restart the first node, which reads the store; return it."""
    node = fleet.restart(0)
    node.meet(*fleet.nodes[1:])
    node.join_task.start()
    await asyncio.wait_for(node.learn(), 5.0)
    return node


@on_loop
async def test_retirement_reaches_nodes_that_are_met_after_it():
    """Guards against a leaving that no other node knows, as its own had just started.

    The store is restored without it, and the node is killed.
    """
    fleet = FakeFleet(3)
    first, *others = fleet.nodes
    for other in others:
        other.task.on_joined()
    first.gossip.reaches_all = False
    first.task.retire("u1", 1000)
    assert await first.task.wait_stored("u1", 1000, 5.0)
    first.meet(*others)
    first.task.on_joined()
    await _tick(first)
    fleet.tables.clear()
    assert (await _rejoin(fleet)).task.own == [Retirement("n0", "u1", 1000)]


@on_loop
async def test_retirement_reaches_other_nodes_though_datagrams_are_lost():
    """Guards against the same where the first datagrams are lost."""
    fleet = FakeFleet(3)
    first, *others = fleet.nodes
    first.meet(*others)
    for node in fleet.nodes:
        node.task.on_joined()
    first.gossip.lost = 4
    first.task.retire("u1", 1000)
    await asyncio.sleep(0.01)
    for _ in range(20):
        first.task.tick()
        await asyncio.sleep(0.1)
    fleet.tables.clear()
    assert (await _rejoin(fleet)).task.own == [Retirement("n0", "u1", 1000)]


@on_loop
async def test_nodes_that_ran_on_are_heard_though_another_replies_first():
    """Guards against a leaving that only nodes which ran on remember.

    The store is restored without it, and the first reply comes from a node that has
    started since, whose table is complete and lacks it.
    """
    fleet = FakeFleet(4)
    first, restarted, *others = fleet.nodes
    for node in fleet.nodes:
        node.task.on_joined()
    first.task.retire("u1", 1000)
    assert await first.task.wait_stored("u1", 1000, 5.0)
    fleet.tables.clear()
    restarted = fleet.restart(1)
    restarted.task.on_joined()
    for other in others:
        other.delay = 0.05
    assert (await _rejoin(fleet)).task.own == [Retirement("n0", "u1", 1000)]


@on_loop
async def test_replies_of_one_process_count_once():
    """Guards against the same where several records lead to one process."""
    fleet = FakeFleet(4)
    first, restarted, *others = fleet.nodes
    for node in fleet.nodes:
        node.task.on_joined()
    first.task.retire("u1", 1000)
    assert await first.task.wait_stored("u1", 1000, 5.0)
    fleet.tables.clear()
    restarted = fleet.restart(1)
    restarted.task.on_joined()
    for other in others:
        other.delay = 0.05
    node = fleet.restart(0)
    records = [
        restarted.membership.me.replace(boot=f"b{boot}", peer_port=2)
        for boot in range(2)
    ]
    node.membership.merge(records)
    node.meet(restarted, *others)
    node.join_task.start()
    await asyncio.wait_for(node.learn(), 5.0)
    assert node.task.own == [Retirement("n0", "u1", 1000)]


@on_loop
async def test_slow_reply_is_merged_after_the_upstream_was_attached():
    """Guards against a leaving that is known too late and then ignored."""
    fleet = FakeFleet(2)
    for node in fleet.nodes:
        node.task.on_joined()
    fleet.nodes[0].task.retire("u1", 1000)
    assert await fleet.nodes[0].task.wait_stored("u1", 1000, 5.0)
    fleet.tables.clear()
    fleet.nodes[1].delay = 0.45
    node = await _rejoin(fleet)
    learned = []
    node.task.on_learned = lambda: learned.append(node.task.own)
    await wait_until(lambda: learned)
    assert learned == [[Retirement("n0", "u1", 1000)]]


@pytest.mark.parametrize("restarted", [False, True])
@on_loop
async def test_node_writes_its_acknowledged_retirements_after_a_restore(restarted):
    """Guards against a leaving that a restore removes while its own node runs."""
    fleet = FakeFleet(1)
    [node] = fleet.nodes
    node.task.on_joined()
    node.task.retire("u1", 1000)
    assert await node.task.wait_stored("u1", 1000, 5.0)
    if restarted:
        node = await _rejoin(fleet)
        node.task.retire("u1", 1000)
    node.task.tick()
    fleet.tables.clear()
    node.platform.stated_era += 1
    await _tick(node)
    assert (await _rejoin(fleet)).task.own == [Retirement("n0", "u1", 1000)]


@on_loop
async def test_leaving_is_not_acknowledged_for_what_a_restore_has_removed():
    """Guards against an acknowledgement for a row that a restore has removed."""
    fleet = FakeFleet(2)
    first, second = fleet.nodes
    first.task.retire("u1", 1000)
    assert await second.task.write_for_peer(PersistRequest(1, "n0", "u1", 1000))
    for node in fleet.nodes:
        node.task.tick()
        node.platform.stated_era += 1
        node.platform.down = True
    fleet.tables.clear()
    assert not await second.task.write_for_peer(PersistRequest(1, "n0", "u1", 1000))
    assert not first.task.is_stored("u1", 1000)
