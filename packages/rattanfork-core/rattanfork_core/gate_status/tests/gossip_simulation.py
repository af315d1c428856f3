"""Simulation of the gossip of gate reports, without sockets."""

from random import Random

from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import GateReportTable
from rattanfork_core.membership import GateUpdate, encode_gossip

#: Seconds between two gossip ticks of a node.
TICK = 0.1
#: Members that a node sends to at each tick.
FANOUT = 2


class GossipSimulation:
    """Nodes that forward the reports of a few gates; datagrams may be lost."""

    def __init__(self, nodes: int, gates: int, lost: float = 0.0) -> None:
        self.clock = ManualClock(100.0)
        self.random = Random(nodes)
        self.lost = lost
        self.nodes = [GateReportTable(self.clock, f"n{i}@b") for i in range(nodes)]
        self.gates = gates
        self.sent_bytes = 0

    def run(self, seconds: float, threshold: float = 2.5) -> None:
        """Run the simulation; the ticks of the nodes are spread over the interval."""
        order = list(range(len(self.nodes)))
        self.random.shuffle(order)
        for _ in range(round(seconds / TICK)):
            for index in order:
                self.clock.advance(TICK / len(order))
                self.tick(index, threshold)

    def tick(self, index: int, threshold: float) -> None:
        node = self.nodes[index]
        if index < self.gates:
            node.update_own("leaf", threshold, impaired=False)
        reports = node.take_fresh()
        if not reports:
            return
        for other in self.random.sample(self.nodes, FANOUT):
            self.sent_bytes += len(encode_gossip(GateUpdate(reports), b"key"))
            if self.random.random() >= self.lost:
                other.merge(reports)

    def report_ages(self) -> list[float]:
        """Return the age of the newest report of each gate at each node, sorted."""
        now = self.clock.now()
        return sorted(
            now - stored.reported_at
            for node in self.nodes
            for stored in node._by_service["leaf"].values()
        )
