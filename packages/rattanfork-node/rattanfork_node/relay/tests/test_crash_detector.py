"""Tests of the detection of upstream crashes."""

import asyncio

from rattanfork_core.clock import ManualClock
from rattanfork_core.quarantine import SuspectTracker

from rattanfork_node.relay.crash_detector import CrashDetector
from rattanfork_node.relay.tests.fakes import FakeUpstreamPool, GateHarness, on_loop
from rattanfork_node.relay.upstream import Upstream
from rattanfork_node.telemetry import Counters


class CrashHarness:
    """A detector, with the connections that it probes."""

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

    async def lose_connections(self, *fingerprints: int) -> None:
        for fingerprint in fingerprints:
            self.detector.on_lost(fingerprint)
        if self.detector._task is not None:
            await asyncio.wait((self.detector._task,))


@on_loop
async def test_closed_connections_and_refused_connect_mean_a_crash():
    harness = CrashHarness()
    harness.pool.settled_connections, harness.pool.accepting = 0, False
    await harness.lose_connections(1, 2)
    assert harness.crashes == [{1, 2}]


@on_loop
async def test_lost_connection_beside_open_ones_is_no_crash():
    harness = CrashHarness()
    harness.pool.accepting = False
    await harness.lose_connections(1)
    assert harness.crashes == []


@on_loop
async def test_upstream_that_accepts_connections_has_not_crashed():
    """Guards against suspects after connections were reset by the network."""
    harness = CrashHarness()
    harness.pool.settled_connections = 0
    await harness.lose_connections(1)
    assert harness.crashes == []


@on_loop
async def test_crash_is_reported_once():
    harness = CrashHarness()
    harness.pool.settled_connections, harness.pool.accepting = 0, False
    await harness.lose_connections(1)
    await harness.lose_connections(2)
    harness.detector.on_replaced([3])
    assert len(harness.crashes) == 1


@on_loop
async def test_crash_of_next_incarnation_is_reported():
    harness = CrashHarness()
    harness.pool.settled_connections, harness.pool.accepting = 0, False
    await harness.lose_connections(1)
    harness.replace("u2")
    await harness.lose_connections(1)
    assert harness.crashes == [{1}, {1}]


@on_loop
async def test_replacement_reports_runs_in_flight_at_silent_predecessor():
    """After a power loss no connection is reset; the replacement shows the crash."""
    harness = GateHarness(slots=2)
    crashes: list[frozenset[int]] = []
    harness.gate.crash_detector.on_crash = lambda _, suspects: crashes.append(suspects)
    job, _ = harness.submit("r1")
    harness.gate.attach(Upstream("u2", "127.0.0.1", 1, 2), 9)
    assert crashes == [{job.fingerprint}]


@on_loop
async def test_exit_of_detached_upstream_is_no_crash():
    harness = GateHarness(slots=2)
    crashes: list[frozenset[int]] = []
    harness.gate.crash_detector.on_crash = lambda _, suspects: crashes.append(suspects)
    harness.pool.settled_connections, harness.pool.accepting = 0, False
    harness.submit("r1")
    harness.gate.detach()
    harness.pool.connections[0].done(None)
    await asyncio.sleep(0.1)
    harness.gate.attach(Upstream("u2", "127.0.0.1", 1, 2), 9)
    assert crashes == []
