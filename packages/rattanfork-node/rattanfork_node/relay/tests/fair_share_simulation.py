"""Simulation of an overloaded service whose requests are ranked at entry nodes."""

from collections import Counter, deque
from math import exp
from random import Random
from types import SimpleNamespace

from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.clock import ManualClock
from rattanfork_core.fair_shares import FairShares, TotalsTable
from rattanfork_core.membership import (
    Member,
    Membership,
    decode_gossip,
    encode_gossip,
)
from rattanfork_core.routes import Route, WeightedService

from rattanfork_node.member.demand_task import DemandTask
from rattanfork_node.relay.request_rank import RequestRanker, rank_of_request
from rattanfork_node.telemetry import Counters

#: Seconds of a simulation step; nodes exchange messages once in it.
TICK = 0.1
#: Steps after which entry nodes know a threshold of the gate.
THRESHOLD_DELAY = 3
#: Steps of arrivals by which the gate sets its threshold.
THRESHOLD_STEPS = 10
#: Attempts at a request of a client that retries.
ATTEMPTS = 5
#: Steps for which the gate's queue may hold requests, in steps of its capacity.
QUEUE_STEPS = 2.5
OPEN = 5.0
KEY = b"key"
ROUTE = Route("r", "h", "/", (WeightedService("s"),), priority=2)


class EntryNode:
    """Node with the real ranks and the real exchange of demand."""

    def __init__(self, fleet: "FairShareSimulation", name: str) -> None:
        self._fleet = fleet
        self.name = name
        me = record(name)
        self.membership = Membership(fleet.clock, Random(name), me)
        self.membership.merge(record(other) for other in fleet.names)
        self.totals = TotalsTable(fleet.clock)
        self.shares = FairShares(fleet.clock, self.totals)
        self.direct_handlers: dict = {}
        self.task = DemandTask(
            fleet.clock,
            Random(name),
            self.membership,
            self,
            self.shares,
            self.totals,
            lambda: True,
        )
        self.counters = Counters()
        self.ranker = RequestRanker(fleet, self.shares, self.counters)

    def send(self, message, address) -> None:
        self._fleet.deliver(self, encode_gossip(message, KEY), address[0])

    def send_to_all(self, message) -> None:
        data = encode_gossip(message, KEY)
        for name in self._fleet.names:
            if name != self.name:
                self._fleet.deliver(self, data, name)

    def send_to_random(self, message, count) -> None:
        data = encode_gossip(message, KEY)
        for member in self.membership.random_members(count):
            self._fleet.deliver(self, data, member.address[0])


class FairShareSimulation:
    """Accounts that send through entry nodes to one service with a given capacity.

    Each step, the gate runs the requests of the lowest ranks that its capacity allows
    and sets its threshold to the rank that fits the arrivals of the last second.
    Entry nodes shed by a threshold that is 0.3 s old and rounded as in gate reports.

    Parameters
    ==========

    capacity : float
        Requests per second that the service can run.
    nodes : int
        Number of entry nodes.
    fair : bool
        Whether ranks depend on the demand of accounts.
    old : iterable of str
        Names of nodes of a build without fair shares.
    """

    def __init__(self, capacity: float, nodes: int = 12, fair=True, old=()) -> None:
        self.clock = ManualClock(100.0)
        self.random = Random(nodes)
        self.capacity = capacity
        self.fair = fair
        self.old = set(old)
        self.names = [f"n{i}" for i in range(nodes)]
        self.silent: set[str] = set()
        self.groups: dict[str, int] = {}
        self.sent_bytes: Counter[str] = Counter()
        self.datagrams: Counter[str] = Counter()
        self.malformed = 0
        self.nodes = {name: EntryNode(self, name) for name in self.names}
        self.rates: dict[str, float] = {}
        self.entries: dict[str, list[str]] = {}
        #: Accounts whose refused requests are sent again in the next step.
        self.retrying: set[str] = set()
        self.offered: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        #: Quota of each account in requests per second; 0 without one.
        self.quota = 0.0
        self.ranks: list[float] = []
        self._accounts: dict[str, ClientAccount] = {}
        self._requests = 0
        self._retries: list[tuple[str, int]] = []
        self._published: deque[float] = deque([OPEN] * THRESHOLD_DELAY)
        self._arrivals: deque[list[float]] = deque(maxlen=THRESHOLD_STEPS)
        self._credit = 0.0

    @property
    def threshold(self) -> float:
        """Threshold known at the entry nodes."""
        return self._published[0]

    def lowest_gate_threshold(self, operation: str, service: str) -> float:
        """Stand in for the thresholds along the call chain."""
        return self.threshold

    def deliver(self, sender: EntryNode, data: bytes, target: str) -> None:
        self.sent_bytes[sender.name] += len(data)
        self.datagrams[sender.name] += 1
        cut = self.groups.get(sender.name) != self.groups.get(target)
        if cut or target in self.silent or target in self.old:
            return
        message = decode_gossip(data, KEY)
        node = self.nodes[target]
        node.direct_handlers[type(message)](message, (sender.name, 1))

    def run(self, seconds: float) -> "FairShareSimulation":
        """Run for some seconds and count the requests offered and served in them."""
        self.offered.clear()
        self.served.clear()
        self.ranks.clear()
        for _ in range(round(seconds / TICK)):
            self._step()
        return self

    def share(self, *accounts: str) -> float:
        """Return the part of the requests of some accounts that was served."""
        offered = sum(self.offered[name] for name in accounts)
        return sum(self.served[name] for name in accounts) / offered

    def _step(self) -> None:
        self.clock.advance(TICK)
        requests = self._requests_of_step()
        self._arrivals.append([rank for rank, _, _ in requests])
        self.ranks += self._arrivals[-1]
        self._credit = min(
            self._credit + self.capacity * TICK, self.capacity * TICK * QUEUE_STEPS
        )
        self._retries = []
        for rank, name, attempt in sorted(requests):
            if rank < self.threshold and self._credit >= 1:
                self._credit -= 1
                self.served[name] += 1
            elif name in self.retrying and attempt < ATTEMPTS:
                self._retries.append((name, attempt + 1))
        self._published.popleft()
        self._published.append(self._fitting_threshold())
        for name, node in self.nodes.items():
            if name not in self.silent and name not in self.old and self.fair:
                node.task.tick()

    def _requests_of_step(self) -> list[tuple[float, str, int]]:
        sent = [*self._retries]
        for name, rate in self.rates.items():
            sent += [(name, 1)] * poisson(self.random, rate * TICK)
        self.random.shuffle(sent)
        requests = []
        for name, attempt in sent:
            self.offered[name] += 1
            entry = self.random.choice(self.entries.get(name, self.names))
            requests.append((self._rank(entry, name), name, attempt))
        return requests

    def _rank(self, entry: str, name: str) -> float:
        self._requests += 1
        account = self._accounts.setdefault(name, ClientAccount(name, rate=self.quota))
        exchange = SimpleNamespace(
            request_id=b"%d" % self._requests, account=account, fair_share=None
        )
        if not self.fair or entry in self.old:
            return rank_of_request(exchange, ROUTE, False)
        return self.nodes[entry].ranker.rank(exchange, ROUTE, False, "r/s", "s")

    def _fitting_threshold(self) -> float:
        ranks = sorted(rank for arrivals in self._arrivals for rank in arrivals)
        fitting = int(self.capacity * TICK * len(self._arrivals))
        return OPEN if fitting >= len(ranks) else round(ranks[fitting] * 50) / 50


def record(name: str) -> Member:
    """Return the record of a node, whose address is its name."""
    return Member(name, "b", "s", "dc1", name, 1, 1, 8)


def poisson(random: Random, mean: float) -> int:
    """Return a Poisson number; the sum of two halves if the mean is large."""
    if mean > 30:
        return poisson(random, mean / 2) + poisson(random, mean / 2)
    limit, product, count = exp(-mean), random.random(), 0
    while product > limit:
        product *= random.random()
        count += 1
    return count
