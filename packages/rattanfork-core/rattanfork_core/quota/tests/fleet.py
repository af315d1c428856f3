"""Nodes that ask each other for tokens, on a clock of their own."""

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

#: Seconds between nodes, between two ticks, and until a failure is known to all.
DELAY = 0.002
TICK = 0.1
DETECTED_AFTER = 1.5


class Node:
    """One node: its view of the others, its issuer and its leases."""

    def __init__(self, fleet: "Fleet", name: int) -> None:
        self.fleet, self.name = fleet, name
        self.alive = set(range(fleet.size))
        self.doubtful: set[int] = set()
        self.settled_at = fleet.clock.now()
        self.largest = WindowedMaximum(fleet.clock, 30.0, fleet.size)
        self.issuer = TokenIssuer(
            fleet.clock,
            fleet.bound,
            lambda account: self.order(account)[0] == self.name,
            self.in_doubt,
            lambda: len(self.alive),
            lambda: self.largest.value,
            lambda: self.settled_at,
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

    def in_doubt(self, account: str) -> bool:
        mine = hash64(f"{account}|{self.name}")
        return any(hash64(f"{account}|{n}") < mine for n in self.doubtful)

    def see(self, alive: set[int]) -> None:
        self.doubtful = (self.doubtful | (self.alive - alive)) - alive
        if alive != self.alive:
            self.settled_at = self.fleet.clock.now()
        self.alive = alive | {self.name}
        self.largest.update(len(self.alive))


class Fleet:
    """A fleet, its network, and what was let in of one account."""

    def __init__(self, size: int, account: ClientAccount) -> None:
        self.size, self.account, self.bound = size, account, QuotaBound()
        self.clock = ManualClock(1000.0)
        self.random = Random(1)
        self.loss = 0.0
        self.up = set(range(size))
        #: Nodes that reach each other, by the number of their part.
        self.part = dict.fromkeys(range(size), 0)
        self.nodes = [Node(self, name) for name in range(size)]
        self.messages = 0
        self.granted: list[float] = []
        self.refused: list[float] = []
        self.unreachable: list[float] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = count()
        for node in self.nodes:
            self._tick(node)
        # All know each other for long; nobody issues a first window any more.
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
        """Let requests come at random moments, at random nodes."""
        places = nodes if nodes is not None else list(range(self.size))
        at = self.random.expovariate(rate)
        while at < seconds:
            place = self.random.choice(places)
            self.at(at, lambda place=place: self.ask(place))
            at += self.random.expovariate(rate)

    def ask(self, place: int) -> None:
        if place in self.up:
            quota: Quota = self.quota(place)
            quota.take(self.account, self._decided)

    def quota(self, place: int) -> Quota:
        return self.nodes[place].leases

    def split(self, *parts: set[int]) -> None:
        """Partition the fleet; each side learns it after a while."""
        for number, part in enumerate(parts):
            self.part.update(dict.fromkeys(part, number))
        self._tell_views()

    def kill(self, names: set[int], back_after: float) -> None:
        """End nodes; each starts again with nothing."""
        self.up -= names
        self._tell_views()

        def restart() -> None:
            for name in names:
                self.nodes[name] = Node(self, name)
                self._tick(self.nodes[name])
            self.up |= names
            self._tell_views()

        self.at(back_after, restart)

    def most_in_window(self) -> int:
        """Return the most requests that were let in within one window."""
        window: deque[float] = deque()
        most = 0
        for at in sorted(self.granted):
            window.append(at)
            while window[0] <= at - self.bound.window:
                window.popleft()
            most = max(most, len(window))
        return most

    def _decided(self, verdict: QuotaDecision, after: float) -> None:
        into = {
            QuotaDecision.GRANTED: self.granted,
            QuotaDecision.EXHAUSTED: self.refused,
            QuotaDecision.UNREACHABLE: self.unreachable,
        }
        into[verdict].append(self.clock.now())

    def _reply(self, sender: Node, number: int, grant) -> None:
        if self.nodes[sender.name] is sender:
            sender.leases.on_reply(number, *grant)

    def _reaches(self, one: int, other: int) -> bool:
        if one == other:
            return True
        if not {one, other} <= self.up or self.part[one] != self.part[other]:
            return False
        return self.random.random() >= self.loss

    def _tell_views(self) -> None:
        def see() -> None:
            for node in self.nodes:
                same = {n for n in self.up if self.part[n] == self.part[node.name]}
                node.see(same)

        self.at(DETECTED_AFTER, see)

    def _tick(self, node: Node) -> None:
        if self.nodes[node.name] is node:
            node.leases.tick()
            self.at(TICK, lambda: self._tick(node))


class EqualFleet(Fleet):
    """A fleet whose nodes have equal parts."""

    def __init__(self, size: int, account: ClientAccount) -> None:
        super().__init__(size, account)
        self._shares = [EqualSplitQuota(self.clock, lambda: size) for _ in range(size)]

    def quota(self, place: int) -> Quota:
        return self._shares[place]
