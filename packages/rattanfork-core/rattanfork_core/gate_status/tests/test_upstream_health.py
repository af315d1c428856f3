"""Tests of impairment detection: delays, false detections and recovery."""

from heapq import heappop, heappush
from random import Random

from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import UpstreamHealth

#: Mean duration of a run in seconds.
MEAN = 0.7


class Upstream:
    """Simulated upstream with six runs per second of very unequal duration."""

    def __init__(self, seed: int = 1) -> None:
        self.clock = ManualClock(100.0)
        self.random = Random(seed)
        self.health = UpstreamHealth(self.clock)
        self.ends: list[tuple[float, int]] = []
        self.key = 0
        self.slowdown = 1.0
        self.failure_share = 0.004
        self.rate = 6.0
        self.impaired_ticks = 0
        self.ticks = 0

    def run(self, seconds: float, until_impaired: bool = False) -> float:
        """Run the simulation; return its duration in seconds."""
        started_at = self.clock.now()
        while self.clock.now() - started_at < seconds:
            self.clock.advance(0.02)
            now = self.clock.now()
            while self.ends and self.ends[0][0] <= now:
                _, key = heappop(self.ends)
                self.health.on_ended(key, self.random.random() < self.failure_share)
            if self.random.random() < self.rate * 0.02:
                self.key += 1
                self.health.on_started(self.key, "read")
                duration = MEAN * self.random.lognormvariate(-0.32, 0.8) * self.slowdown
                heappush(self.ends, (now + duration, self.key))
            self.ticks += 1
            self.impaired_ticks += self.health.impaired
            if until_impaired and self.health.impaired:
                break
        return self.clock.now() - started_at


def test_healthy_upstream_is_hardly_ever_impaired():
    """Runs have unequal durations, and four in a thousand fail.

    Each false detection would be sent to the whole fleet and hold for seconds.
    """
    upstreams = [Upstream(seed) for seed in range(10)]
    for upstream in upstreams:
        upstream.run(120.0)
    ticks = sum(upstream.ticks for upstream in upstreams)
    assert sum(upstream.impaired_ticks for upstream in upstreams) < 0.005 * ticks


def test_upstream_failing_two_in_five_runs_is_impaired_within_two_seconds():
    delays = []
    for seed in range(20):
        upstream = Upstream(seed)
        upstream.run(20.0)
        upstream.failure_share = 0.4
        delays.append(upstream.run(10.0, until_impaired=True))
    assert sorted(delays)[10] < 2.0


def test_slow_upstream_is_impaired_before_its_slow_runs_end():
    """Runs become twelve times slower; they last about eight seconds on average."""
    delays = []
    for seed in range(20):
        upstream = Upstream(seed)
        upstream.run(20.0)
        upstream.slowdown = 12.0
        delays.append(upstream.run(10.0, until_impaired=True))
    assert sorted(delays)[10] < 3.0


def test_impaired_upstream_without_runs_is_healthy_again_after_a_time():
    """All nodes avoid it, so no run could show that it has recovered."""
    upstream = Upstream()
    upstream.run(20.0)
    upstream.failure_share = 1.0
    upstream.run(3.0)
    assert upstream.health.impaired
    upstream.rate = 0.0
    upstream.run(10.0)
    assert not upstream.health.impaired


def test_hanging_upstream_stays_impaired():
    """It completes no run, so the runs sent to it remain in progress."""
    upstream = Upstream()
    upstream.run(20.0)
    upstream.slowdown = 1e6
    upstream.run(4.0)
    upstream.rate = 0.0
    upstream.run(20.0)
    assert upstream.health.impaired


def test_cancelled_run_does_not_change_the_health():
    clock = ManualClock()
    health = UpstreamHealth(clock)
    for key in range(20):
        health.on_started(key, "read")
        health.on_ended(key, failed=True, counts=False)
        assert not health.impaired
