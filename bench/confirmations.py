"""Seconds until a change is in force at all nodes when no watch of the store works.

Simulates fleets of several sizes on one clock with the real membership and the real
schedule of store polls.  A datagram takes 0.5 to 3 ms, a store poll 10 ms, a fetch
from a peer 6 ms.  All watches are dead from the start, and a change is accepted at a
random time.  A second run has the store reject a third of the nodes.  Also reports
store polls per second (saved as questions) and datagrams per second and node.
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
#: Nodes of each data centre that poll the store.
POLLERS_PER_CENTRE = 4
#: Members that a poller pings with the result of a poll.
NOTIFIED_MEMBERS = 16
TICK_S = 0.1
POLL_CHECK_S = 0.05
POLL_LATENCY_S = 0.010
FETCH_LATENCY_S = 0.006
FETCH_CHECK_S = 0.15
SETTLE_S = 5.0
TIME_LIMIT_S = 20.0


class EventQueue:
    """Discrete-event queue with a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        at = self.clock.now() + seconds
        heappush(self._heap, (at, next(self._numbers), action))

    def run(self, until: float, done: Callable[[], bool]) -> None:
        """Process events up to a time, or until ``done`` returns True."""
        while self._heap and self._heap[0][0] <= until and not done():
            at, _, action = heappop(self._heap)
            self.clock.advance(max(0.0, at - self.clock.now()))
            action()


@dataclass
class Store:
    """The store: its version, the polls so far, and the nodes that it rejects."""

    version: int = 1
    polls: int = 0
    rejected: set[str] = field(default_factory=set)


class Node:
    """One node: its membership, poll schedule and version in force."""

    def __init__(self, fleet: "Fleet", member: Member) -> None:
        self.fleet = fleet
        self.random = Random(fleet.random.getrandbits(64))
        clock = fleet.events.clock
        settings = MembershipSettings(push_fanout=8, push_interval=TICK_S)
        self.view = Membership(clock, self.random, member, settings)
        self.view.cached_versions = self.cached_versions
        self.schedule = ConfirmationSchedule(clock, self.random)
        self.version = 1
        self.newest = 1
        self.fetch_source: Node | None = None
        self.in_force_at = 0.0
        self.datagrams = 0
        self.group: list[str] = []

    def start(self) -> None:
        """Schedule the periodic ticks, poll checks and fetch checks."""
        events = self.fleet.events
        for period, action in (
            (TICK_S, self.tick),
            (POLL_CHECK_S, self.poll),
            (FETCH_CHECK_S, self.fetch),
        ):
            events.after(
                self.random.uniform(0, period), self._repeat_every(period, action)
            )

    def cached_versions(self) -> CachedVersions:
        """Return the versions that datagrams carry."""
        known = self.schedule.confirmed and self.newest == self.version
        age = int(self.schedule.age * 1000) if known else UNKNOWN_AGE_MS
        return CachedVersions(self.version, 0, age)

    def tick(self) -> None:
        """Run one tick of the membership."""
        self.send(self.view.tick())

    def poll(self) -> None:
        """Poll the store if the schedule says so."""
        if self.schedule.due():
            self.schedule.begin()
            self.fleet.store.polls += 1
            self.fleet.events.after(POLL_LATENCY_S, self.on_poll_response)

    def on_poll_response(self) -> None:
        """Handle the response of the store, and notify members."""
        store = self.fleet.store
        succeeded = self.view.me.name not in store.rejected
        self.schedule.end(succeeded)
        if succeeded:
            self.apply_version(store.version)
            notified = min(NOTIFIED_MEMBERS, len(self.group))
            self.send(self.view.ping_members(self.random.sample(self.group, notified)))

    def fetch(self) -> None:
        """Fetch a newer version from the peer that announced it or a random one."""
        if self.newest > self.version:
            peer, self.fetch_source = self.fetch_source, None
            peer = peer or self.fleet.random.choice(self.fleet.nodes)
            self.fleet.events.after(
                FETCH_LATENCY_S, lambda: self.apply_version(peer.version)
            )

    def apply_version(self, version: int) -> None:
        """Put a newer version in force."""
        if version > self.version:
            self.version = version
            self.newest = max(self.newest, version)
            self.in_force_at = self.fleet.events.clock.now()
            self.fleet.outdated -= 1
            self.view.schedule_push()

    def send(self, sends: list[Send]) -> None:
        """Send datagrams."""
        self.datagrams += len(sends)
        for send in sends:
            target = self.fleet.by_address[send.address]
            delay = self.random.uniform(0.0005, 0.003)
            self.fleet.events.after(
                delay, lambda t=target, s=send: t.on_datagram(s, self)
            )

    def on_datagram(self, send: Send, sender: "Node") -> None:
        """Handle a datagram."""
        cached_versions = send.message.versions
        if cached_versions.configuration > self.version:
            self.fetch_source = sender
        self.newest = max(self.newest, cached_versions.configuration)
        older = (
            cached_versions.configuration < self.newest or self.newest > self.version
        )
        if cached_versions.confirmation_age_ms != UNKNOWN_AGE_MS and not older:
            self.schedule.on_confirmation(cached_versions.confirmation_age_ms / 1000)
        self.send(self.view.on_message(send.message, sender.view.me.address))

    def _repeat_every(
        self, period: float, action: Callable[[], None]
    ) -> Callable[[], None]:
        def run_and_reschedule() -> None:
            action()
            self.fleet.events.after(
                period * self.random.uniform(0.9, 1.1), run_and_reschedule
            )

        return run_and_reschedule


class Fleet:
    """All nodes and the store; no watch works."""

    def __init__(self, size: int, seed: int, rejected: float) -> None:
        self.random = Random(seed)
        self.events = EventQueue()
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
        self.outdated = 0
        names_by_centre = [
            [m.name for m in members if m.data_centre == f"dc{centre}"]
            for centre in range(CENTRES)
        ]
        groups = [
            role_holders(names, "confirmation", POLLERS_PER_CENTRE)
            for names in names_by_centre
        ]
        pollers = {name for group in groups for name in group}
        for node in self.nodes:
            me = node.view.me.name
            node.view.merge(members)
            node.group = sorted(pollers - {me})
            node.schedule.set_group(len(pollers), size, me in pollers)
            node.start()
        rejected_members = self.random.sample(members, int(rejected * size))
        self.store.rejected = {member.name for member in rejected_members}

    def run_change(self) -> dict[str, float]:
        """Accept a change after the fleet has settled; return the results.

        ``half_s``, ``most_s`` (99%) and ``all_s`` are the seconds until it is in force
        at that share of the nodes.
        """
        self.events.run(SETTLE_S, lambda: False)
        polls_settled = self.store.polls
        sent = sum(node.datagrams for node in self.nodes)
        began = SETTLE_S + self.random.uniform(0, 1)
        self.events.run(began, lambda: False)
        self.store.version = 2
        self.outdated = len(self.nodes)
        self.events.run(began + TIME_LIMIT_S, lambda: self.outdated == 0)
        took = sorted(
            node.in_force_at - began if node.version == 2 else TIME_LIMIT_S
            for node in self.nodes
        )
        last = len(took) - 1
        return {
            "half_s": took[last // 2],
            "most_s": took[int(0.99 * last)],
            "all_s": took[last],
            "questions_per_s": polls_settled / SETTLE_S,
            "datagrams_per_s_a_node": sent / SETTLE_S / len(self.nodes),
        }


def main() -> None:
    """Simulate all sizes; save the worst results over all seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = parser.parse_args().seeds
    rows = []
    for size in SIZES:
        for rejected in (0.0, 0.33):
            runs = [Fleet(size, seed, rejected).run_change() for seed in range(seeds)]
            worst = {key: round(max(p[key] for p in runs), 2) for key in runs[0]}
            rows.append({"nodes": size, "turned_away": rejected, **worst})
            print(rows[-1], flush=True)
    node = Fleet(SIZES[0], 0, 0.0).nodes[0]
    [send] = node.view.ping_members([node.group[0]])
    size = len(encode_gossip(send.message, b"k" * 16))
    result = {"seeds": seeds, "datagram_bytes": size, "worst_of_seeds": rows}
    RESULTS.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
