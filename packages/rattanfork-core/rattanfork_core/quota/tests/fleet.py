"""Simulated fleet whose nodes lease quota tokens from each other."""

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.clock import ManualClock
from rattanfork_core.hashing import hash64
from rattanfork_core.quota import (
    EqualSplitQuota,
    Quota,
    QuotaBound,
    QuotaDecision,
    TokenIssuer,
    TokenLeases,
    TokenRequest,
    WindowedMaximum,
)

#: One-way delay of a datagram, in seconds.
DELAY = 0.002
#: Interval of the nodes' ticks, in seconds.
TICK = 0.1
#: Time until the views of all nodes reflect a failure or partition, in seconds.
DETECTED_AFTER = 1.5
#: The same for a node that leaves or joins in an orderly way.
ANNOUNCED_AFTER = 0.1


class Node:
    """A node: its view of the members, its issuer and its leases."""

    def __init__(self, fleet: "Fleet", name: int) -> None:
        self.fleet, self.name = fleet, name
        self.alive = set(range(fleet.size))
        self.failed: set[int] = set()
        self.order_changed_at = fleet.clock.now()
        self.fleet_size = WindowedMaximum(fleet.clock, 30.0, fleet.size)
        self.issuer = TokenIssuer(
            fleet.clock,
            fleet.bound,
            lambda account: self.order(account)[0] == self.name,
            self.predecessor_uncertain,
            lambda: len(self.alive),
            lambda: self.fleet_size.value,
            lambda: self.order_changed_at,
        )
        self.leases = TokenLeases(
            fleet.clock,
            Random(name),
            fleet.bound,
            self.order,
            lambda issuer, request: fleet.send(self, issuer, request),
        )

    def order(self, account: str) -> list[int]:
        return sorted(self.alive, key=lambda n: hash64(f"{account}|{n}"))

    def predecessor_uncertain(self, account: str) -> bool:
        mine = hash64(f"{account}|{self.name}")
        return any(hash64(f"{account}|{n}") < mine for n in self.failed)

    def set_view(self, alive: set[int], failed: bool) -> None:
        self.failed = (self.failed | (self.alive - alive if failed else set())) - alive
        if alive != self.alive:
            self.order_changed_at = self.fleet.clock.now()
        self.alive = alive | {self.name}
        self.fleet_size.update(len(self.alive))
        self.issuer.on_issuers_changed()


class Fleet:
    """A fleet, its network, and the decisions on the requests of one account."""

    def __init__(self, size: int, account: ClientAccount) -> None:
        self.size, self.account, self.bound = size, account, QuotaBound()
        self.clock = ManualClock(1000.0)
        self.random = Random(1)
        self.loss = 0.0
        self.running = set(range(size))
        #: Partition of each node; only nodes of the same partition reach each other.
        self.partition = dict.fromkeys(range(size), 0)
        self.nodes = [Node(self, name) for name in range(size)]
        self.messages = 0
        self.granted: list[float] = []
        self.refused: list[float] = []
        self.unreachable: list[float] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = count()
        for node in self.nodes:
            self._tick(node)
        # Starts the ticks.  Most tests run the fleet for more than a window before they
        # send requests, so that no issuer is in its first one.
        self.run(0.2)

    def send(self, sender: Node, issuer: int, request: TokenRequest) -> None:
        self.messages += 1

        def arrive() -> None:
            node = self.nodes[issuer]
            if not self._reaches(sender.name, issuer):
                return
            grant = node.issuer.issue(self.account, request.count, str(sender.name))
            if grant is None:
                return
            if issuer == sender.name:
                sender.leases.on_reply(request.number, *grant)
                return
            self.messages += 1
            if self._reaches(issuer, sender.name):
                self.at(DELAY, lambda: self._reply(sender, request.number, grant))

        if issuer == sender.name:
            arrive()
        else:
            self.at(DELAY, arrive)

    def at(self, delay: float, event: Callable[[], None]) -> None:
        at = self.clock.now() + delay
        heappush(self._events, (at, next(self._counter), event))

    def run(self, seconds: float) -> None:
        end = self.clock.now() + seconds
        while self._events and self._events[0][0] <= end:
            at, _, event = heappop(self._events)
            self.clock.advance(max(0.0, at - self.clock.now()))
            event()
        self.clock.advance(max(0.0, end - self.clock.now()))

    def demand(self, rate: float, seconds: float, nodes: list[int] | None = None):
        """Schedule Poisson arrivals at random nodes, ``rate`` per second."""
        names = nodes if nodes is not None else list(range(self.size))
        at = self.random.expovariate(rate)
        while at < seconds:
            name = self.random.choice(names)
            self.at(at, lambda name=name: self.send_request(name))
            at += self.random.expovariate(rate)

    def send_request(self, name: int) -> None:
        if name in self.running:
            quota: Quota = self.quota(name)
            quota.take(self.account, self._decided)

    def quota(self, name: int) -> Quota:
        return self.nodes[name].leases

    def split(self, *partitions: set[int]) -> None:
        """Partition the fleet; views change after :data:`DETECTED_AFTER`."""
        for number, partition in enumerate(partitions):
            self.partition.update(dict.fromkeys(partition, number))
        self._update_views()

    def kill(self, names: set[int], back_after: float) -> None:
        """Kill nodes, and restart them without state after ``back_after`` seconds."""
        self.running -= names
        self._update_views()

        def restart() -> None:
            for name in names:
                self.nodes[name] = Node(self, name)
                self._tick(self.nodes[name])
            self.running |= names
            self._update_views()

        self.at(back_after, restart)

    def restart(self, name: int, back_after: float) -> None:
        """Restart a node that announces its leaving, and loses its state."""
        self.running.discard(name)
        self._update_views(ANNOUNCED_AFTER, failed=False)

        def start() -> None:
            self.nodes[name] = Node(self, name)
            self._tick(self.nodes[name])
            self.running.add(name)
            self._update_views(ANNOUNCED_AFTER, failed=False)

        self.at(back_after, start)

    def most_in_window(self) -> int:
        """Return the largest number of requests granted within one window."""
        window: deque[float] = deque()
        largest = 0
        for at in sorted(self.granted):
            window.append(at)
            while window[0] <= at - self.bound.window:
                window.popleft()
            largest = max(largest, len(window))
        return largest

    def _decided(self, decision: QuotaDecision, after: float) -> None:
        times = {
            QuotaDecision.GRANTED: self.granted,
            QuotaDecision.EXHAUSTED: self.refused,
            QuotaDecision.UNREACHABLE: self.unreachable,
        }
        times[decision].append(self.clock.now())

    def _reply(self, sender: Node, number: int, grant) -> None:
        if self.nodes[sender.name] is sender:
            sender.leases.on_reply(number, *grant)

    def _reaches(self, one: int, other: int) -> bool:
        if one == other:
            return True
        if (
            not {one, other} <= self.running
            or self.partition[one] != self.partition[other]
        ):
            return False
        return self.random.random() >= self.loss

    def _update_views(self, after: float = DETECTED_AFTER, failed: bool = True) -> None:
        def set_view() -> None:
            for node in self.nodes:
                reachable = {
                    n
                    for n in self.running
                    if self.partition[n] == self.partition[node.name]
                }
                node.set_view(reachable, failed)

        self.at(after, set_view)

    def _tick(self, node: Node) -> None:
        if self.nodes[node.name] is node:
            node.leases.tick()
            self.at(TICK, lambda: self._tick(node))


class EqualFleet(Fleet):
    """A fleet whose nodes split each limit equally."""

    def __init__(self, size: int, account: ClientAccount) -> None:
        super().__init__(size, account)
        self._quotas = [EqualSplitQuota(self.clock, lambda: size) for _ in range(size)]

    def quota(self, name: int) -> Quota:
        return self._quotas[name]
