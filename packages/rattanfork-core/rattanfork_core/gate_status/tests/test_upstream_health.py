"""A gate tells soon that its upstream is impaired, and a sound one is left alone."""

from heapq import heappop, heappush
from random import Random

from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import UpstreamHealth

MEAN = 0.7


class Upstream:
    """An upstream with six runs a second of very unequal length."""

    def __init__(self, seed: int = 1) -> None:
        self.clock = ManualClock(100.0)
        self.random = Random(seed)
        self.health = UpstreamHealth(self.clock)
        self.ends: list[tuple[float, int]] = []
        self.key = 0
        self.slower = 1.0
        self.failing = 0.004
        self.rate = 6.0
        self.impaired_ticks = 0
        self.ticks = 0

    def play(self, seconds: float, until_impaired: bool = False) -> float:
        """Let runs come; return after how many seconds."""
        began = self.clock.now()
        while self.clock.now() - began < seconds:
            self.clock.advance(0.02)
            now = self.clock.now()
            while self.ends and self.ends[0][0] <= now:
                _, key = heappop(self.ends)
                self.health.on_ended(key, self.random.random() < self.failing)
            if self.random.random() < self.rate * 0.02:
                self.key += 1
                self.health.on_started(self.key, "read")
                length = MEAN * self.random.lognormvariate(-0.32, 0.8) * self.slower
                heappush(self.ends, (now + length, self.key))
            self.ticks += 1
            self.impaired_ticks += self.health.impaired
            if until_impaired and self.health.impaired:
                break
        return self.clock.now() - began


def test_a_sound_upstream_is_hardly_ever_called_impaired():
    """Runs differ by their own lengths, and four in a thousand fail.

    Each false word is told to the whole fleet for seconds.
    """
    upstreams = [Upstream(seed) for seed in range(10)]
    for upstream in upstreams:
        upstream.play(120.0)
    ticks = sum(upstream.ticks for upstream in upstreams)
    assert sum(upstream.impaired_ticks for upstream in upstreams) < 0.005 * ticks


def test_an_upstream_that_fails_two_in_five_is_told_within_two_seconds():
    took = []
    for seed in range(20):
        upstream = Upstream(seed)
        upstream.play(20.0)
        upstream.failing = 0.4
        took.append(upstream.play(10.0, until_impaired=True))
    assert sorted(took)[10] < 2.0


def test_an_upstream_that_turns_slow_is_told_before_its_runs_end():
    """Runs take twelve times as long; the first of them ends after eight seconds."""
    took = []
    for seed in range(20):
        upstream = Upstream(seed)
        upstream.play(20.0)
        upstream.slower = 12.0
        took.append(upstream.play(10.0, until_impaired=True))
    assert sorted(took)[10] < 3.0


def test_one_that_gets_no_more_runs_is_tried_again():
    """Everybody is led round it, so nothing would tell that it has recovered."""
    upstream = Upstream()
    upstream.play(20.0)
    upstream.failing = 1.0
    upstream.play(3.0)
    assert upstream.health.impaired
    upstream.rate = 0.0
    upstream.play(10.0)
    assert not upstream.health.impaired


def test_an_upstream_that_hangs_stays_impaired():
    """It answers nothing, and what it was sent is still under way."""
    upstream = Upstream()
    upstream.play(20.0)
    upstream.slower = 1e6
    upstream.play(4.0)
    upstream.rate = 0.0
    upstream.play(20.0)
    assert upstream.health.impaired


def test_a_run_that_its_caller_stops_says_nothing():
    clock = ManualClock()
    health = UpstreamHealth(clock)
    for key in range(20):
        health.on_started(key, "read")
        health.on_ended(key, failed=True, counts=False)
        assert not health.impaired
