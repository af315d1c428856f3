"""How fast a change is known to all when every watch of the store is dead.

The real views of the members and the real schedule of questions run in one process
on one clock.  A datagram takes 0.5 to 3 ms, a question to the store 10 ms, a fetch
from a peer 6 ms; all watches are dead from the start, and a change is accepted at a
random moment.  Another run has the store turn away a third of the nodes.
"""

import argparse
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from random import Random

from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import (
    UNKNOWN_AGE_MS,
    CachedVersions,
    Member,
    Membership,
    MembershipSettings,
    Send,
    encode_gossip,
    role_holders,
)
from rattanfork_core.revision import ConfirmationSchedule

RESULTS = Path(__file__).parent.parent / "docs" / "measurements" / "confirmations.json"
SIZES = (12, 57, 300, 1000)
CENTRES = 3
ASKING = 4
TOLD = 16
TICK = 0.1
LOOK = 0.05
QUESTION = 0.010
FETCH = 0.006
ASK_PAUSE = 0.15
SETTLE = 5.0
LONGEST = 20.0


class Events:
    """What happens next, on a clock that jumps there."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, seconds: float, work: Callable[[], None]) -> None:
        """Do something later."""
        at = self.clock.now() + seconds
        heappush(self._heap, (at, next(self._numbers), work))

    def run(self, until: float, done: Callable[[], bool]) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until and not done():
            at, _, work = heappop(self._heap)
            self.clock.advance(max(0.0, at - self.clock.now()))
            work()


@dataclass
class Store:
    """The store: one version, and who is turned away."""

    version: int = 1
    questions: int = 0
    turned_away: set[str] = field(default_factory=set)


class Node:
    """One node's view, schedule and version."""

    def __init__(self, fleet: "Fleet", member: Member) -> None:
        self.fleet = fleet
        self.random = Random(fleet.random.getrandbits(64))
        clock = fleet.events.clock
        settings = MembershipSettings(push_fanout=8, push_interval=TICK)
        self.view = Membership(clock, self.random, member, settings)
        self.view.cached_versions = self.held
        self.schedule = ConfirmationSchedule(clock, self.random)
        self.version = 1
        self.newest = 1
        self.teller: Node | None = None
        self.known_at = 0.0
        self.datagrams = 0
        self.group: list[str] = []

    def start(self) -> None:
        """Begin to tick, to look and to follow peers."""
        events = self.fleet.events
        for period, work in (
            (TICK, self.tick),
            (LOOK, self.look),
            (ASK_PAUSE, self.follow),
        ):
            events.after(self.random.uniform(0, period), self._every(period, work))

    def held(self) -> CachedVersions:
        """Return what datagrams tell."""
        known = self.schedule.confirmed and self.newest == self.version
        age = int(self.schedule.age * 1000) if known else UNKNOWN_AGE_MS
        return CachedVersions(self.version, 0, age)

    def tick(self) -> None:
        """Carry the membership on."""
        self.send(self.view.tick())

    def look(self) -> None:
        """Ask the store if it is this node's turn."""
        if self.schedule.due():
            self.schedule.begin()
            self.fleet.store.questions += 1
            self.fleet.events.after(QUESTION, self.answered)

    def answered(self) -> None:
        """Take the store's answer."""
        store = self.fleet.store
        succeeded = self.view.me.name not in store.turned_away
        self.schedule.end(succeeded)
        if succeeded:
            self.take(store.version)
            told = min(TOLD, len(self.group))
            self.send(self.view.ping_members(self.random.sample(self.group, told)))

    def follow(self) -> None:
        """Fetch from who told of something newer, then from any peer."""
        if self.newest > self.version:
            peer, self.teller = self.teller, None
            peer = peer or self.fleet.random.choice(self.fleet.nodes)
            self.fleet.events.after(FETCH, lambda: self.take(peer.version))

    def take(self, version: int) -> None:
        """Take a version in force."""
        if version > self.version:
            self.version = version
            self.newest = max(self.newest, version)
            self.known_at = self.fleet.events.clock.now()
            self.fleet.behind -= 1
            self.view.schedule_push()

    def send(self, sends: list[Send]) -> None:
        """Send datagrams."""
        self.datagrams += len(sends)
        for send in sends:
            target = self.fleet.by_address[send.address]
            delay = self.random.uniform(0.0005, 0.003)
            self.fleet.events.after(delay, lambda t=target, s=send: t.hear(s, self))

    def hear(self, send: Send, sender: "Node") -> None:
        """Take a datagram."""
        held = send.message.versions
        if held.configuration > self.version:
            self.teller = sender
        self.newest = max(self.newest, held.configuration)
        older = held.configuration < self.newest or self.newest > self.version
        if held.confirmation_age_ms != UNKNOWN_AGE_MS and not older:
            self.schedule.on_confirmation(held.confirmation_age_ms / 1000)
        self.send(self.view.on_message(send.message, sender.view.me.address))

    def _every(self, period: float, work: Callable[[], None]) -> Callable[[], None]:
        def again() -> None:
            work()
            self.fleet.events.after(period * self.random.uniform(0.9, 1.1), again)

        return again


class Fleet:
    """All nodes, with dead watches."""

    def __init__(self, size: int, seed: int, turned_away: float) -> None:
        self.random = Random(seed)
        self.events = Events()
        self.store = Store()
        members = [
            Member(
                f"n{i}",
                "b",
                "s",
                f"dc{i % CENTRES}",
                f"10.0.{i >> 8}.{i & 255}",
                1,
                1,
                8,
                8,
            )
            for i in range(size)
        ]
        self.nodes = [Node(self, member) for member in members]
        self.by_address = {node.view.me.address: node for node in self.nodes}
        self.behind = 0
        centres = [
            [m.name for m in members if m.data_centre == f"dc{centre}"]
            for centre in range(CENTRES)
        ]
        groups = [role_holders(names, "confirmation", ASKING) for names in centres]
        asking = {name for group in groups for name in group}
        for node in self.nodes:
            me = node.view.me.name
            node.view.merge(members)
            node.group = sorted(asking - {me})
            node.schedule.set_group(len(asking), size, me in asking)
            node.start()
        away = self.random.sample(members, int(turned_away * size))
        self.store.turned_away = {member.name for member in away}

    def play(self) -> dict[str, float]:
        """Accept a change after a while; return when it was in force."""
        self.events.run(SETTLE, lambda: False)
        settled = self.store.questions
        sent = sum(node.datagrams for node in self.nodes)
        began = SETTLE + self.random.uniform(0, 1)
        self.events.run(began, lambda: False)
        self.store.version = 2
        self.behind = len(self.nodes)
        self.events.run(began + LONGEST, lambda: self.behind == 0)
        took = sorted(
            node.known_at - began if node.version == 2 else LONGEST
            for node in self.nodes
        )
        last = len(took) - 1
        return {
            "half_s": took[last // 2],
            "most_s": took[int(0.99 * last)],
            "all_s": took[last],
            "questions_per_s": settled / SETTLE,
            "datagrams_per_s_a_node": sent / SETTLE / len(self.nodes),
        }


def main() -> None:
    """Play all sizes and save the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = parser.parse_args().seeds
    rows = []
    for size in SIZES:
        for turned_away in (0.0, 0.33):
            played = [Fleet(size, seed, turned_away).play() for seed in range(seeds)]
            worst = {key: round(max(p[key] for p in played), 2) for key in played[0]}
            rows.append({"nodes": size, "turned_away": turned_away, **worst})
            print(rows[-1], flush=True)
    node = Fleet(SIZES[0], 0, 0.0).nodes[0]
    [send] = node.view.ping_members([node.group[0]])
    size = len(encode_gossip(send.message, b"k" * 16))
    result = {"seeds": seeds, "datagram_bytes": size, "worst_of_seeds": rows}
    RESULTS.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
