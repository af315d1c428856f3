"""A fleet that passes on what a few gates report, without sockets."""

from random import Random

from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import GateReportTable
from rattanfork_core.membership import GateUpdate, encode_gossip

TICK = 0.1
#: Members told at each tick.
TOLD = 2


class GossipSimulation:
    """Nodes that pass on what a few gates say; datagrams may be lost."""

    def __init__(self, nodes: int, gates: int, lost: float = 0.0) -> None:
        self.clock = ManualClock(100.0)
        self.random = Random(nodes)
        self.lost = lost
        self.nodes = [GateReportTable(self.clock, f"n{i}@b") for i in range(nodes)]
        self.gates = gates
        self.sent_bytes = 0

    def run(self, seconds: float, cut: float = 2.5) -> None:
        """Let each node tick at a moment of its own."""
        order = list(range(len(self.nodes)))
        self.random.shuffle(order)
        for _ in range(round(seconds / TICK)):
            for place in order:
                self.clock.advance(TICK / len(order))
                self.tick(place, cut)

    def tick(self, place: int, cut: float) -> None:
        node = self.nodes[place]
        if place < self.gates:
            node.update_own("deep", cut, impaired=False)
        news = node.take_fresh()
        if not news:
            return
        for other in self.random.sample(self.nodes, TOLD):
            self.sent_bytes += len(encode_gossip(GateUpdate(news), b"key"))
            if self.random.random() >= self.lost:
                other.merge(news)

    def report_ages(self) -> list[float]:
        """Return how old the newest word of each gate is at each node."""
        now = self.clock.now()
        return sorted(
            now - known.said_at
            for node in self.nodes
            for known in node._by_service["deep"].values()
        )
