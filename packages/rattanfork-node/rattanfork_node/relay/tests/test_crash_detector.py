"""When a gate takes its upstream to have ended."""

import asyncio

from rattanfork_core.clock import ManualClock
from rattanfork_core.quarantine import SuspectTracker

from rattanfork_node.relay.crash_detector import CrashDetector
from rattanfork_node.relay.tests.fakes import FakeUpstreamPool, GateHarness, on_loop
from rattanfork_node.relay.upstream import Upstream
from rattanfork_node.telemetry import Counters


class World:
    """A detector and the connections it looks at."""

    def __init__(self) -> None:
        self.crashes: list[frozenset[int]] = []
        self.pool = FakeUpstreamPool()
        tracker = SuspectTracker(ManualClock())
        self.detector = CrashDetector(tracker, Counters(), self.on_crash)
        self.replace("u1")

    def on_crash(self, incarnation: int, suspects: frozenset[int]) -> None:
        self.crashes.append(suspects)

    def replace(self, name: str) -> None:
        self.detector.watch(self.pool, Upstream(name, "127.0.0.1", 1, 8))

    async def lose(self, *fingerprints: int) -> None:
        for fingerprint in fingerprints:
            self.detector.on_lost(fingerprint)
        if self.detector._task is not None:
            await asyncio.wait((self.detector._task,))


@on_loop
async def test_upstream_without_connections_that_takes_none_has_crashed():
    world = World()
    world.pool.open, world.pool.accepting = 0, False
    await world.lose(1, 2)
    assert world.crashes == [{1, 2}]


@on_loop
async def test_lost_answer_beside_open_connections_is_no_crash():
    world = World()
    world.pool.accepting = False
    await world.lose(1)
    assert world.crashes == []


@on_loop
async def test_upstream_that_takes_new_connections_has_not_crashed():
    """Guards against suspecting requests whose connections were reset on the way."""
    world = World()
    world.pool.open = 0
    await world.lose(1)
    assert world.crashes == []


@on_loop
async def test_crash_is_told_once():
    world = World()
    world.pool.open, world.pool.accepting = 0, False
    await world.lose(1)
    await world.lose(2)
    world.detector.on_replaced([3])
    assert len(world.crashes) == 1


@on_loop
async def test_next_incarnation_may_crash_again():
    world = World()
    world.pool.open, world.pool.accepting = 0, False
    await world.lose(1)
    world.replace("u2")
    await world.lose(1)
    assert world.crashes == [{1}, {1}]


@on_loop
async def test_replacement_suspects_what_its_silent_predecessor_still_ran():
    """Guards against an upstream that loses its power and so resets nothing."""
    world = GateHarness(slots=2)
    crashes: list[frozenset[int]] = []
    world.gate.crash_detector.on_crash = lambda _, suspects: crashes.append(suspects)
    job, _ = world.submit("r1")
    world.gate.attach(Upstream("u2", "127.0.0.1", 1, 2), 9)
    assert crashes == [{job.fingerprint}]


@on_loop
async def test_end_of_an_upstream_that_has_left_suspects_nobody():
    world = GateHarness(slots=2)
    crashes: list[frozenset[int]] = []
    world.gate.crash_detector.on_crash = lambda _, suspects: crashes.append(suspects)
    world.pool.open, world.pool.accepting = 0, False
    world.submit("r1")
    world.gate.detach()
    world.pool.connections[0].done(None)
    await asyncio.sleep(0.1)
    world.gate.attach(Upstream("u2", "127.0.0.1", 1, 2), 9)
    assert crashes == []
