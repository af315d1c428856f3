"""A deep service that runs call in a row, with less room than is asked for.

The pattern: one of three instances of the deepest service is left.  Each run of
the service above makes four calls there, one after another, and has a second for
all.  Where the queue in front of the deep service stands long, each call waits in
it, runs end unfinished, and what they used is lost.  Figures: 33 slots of 57 ms on
average, 145 finished runs a second at most, twice as many offered.
"""

from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from rattanfork_core.admission import (
    AdmissionController,
    AdmissionSettings,
    Start,
    Waiter,
)
from rattanfork_core.clock import ManualClock

_CALLS = 4
_RUN_TIME = 1.0
_CALL_TIME = 0.7
_SLOTS = 33
_MEAN = 0.057
#: Seconds until a threshold is known at the first node.
_DELAY = 0.05
_STEP = 0.005


@dataclass
class Run:
    rank: float
    end: float
    calls: int = 0


class DeepService:
    """One guard, the runs that call through it, and what became of them."""

    def __init__(self, offered: float, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.offered = offered
        self.admission = AdmissionController(
            self.clock,
            AdmissionSettings(
                slots=_SLOTS,
                queue_ratio=1.5,
                queue_delay=0.2,
                surge_sample=100,
                warmup=0.0,
                adaptive=False,
            ),
        )
        self.runs: dict[int, Run] = {}
        self.waiting: dict[int, Waiter] = {}
        self.ends: list[tuple[float, int]] = []
        self.cuts: list[tuple[float, float]] = [(0.0, 5.0)]
        self.keys = 0
        self.finished: list[tuple[float, float]] = []
        self.failures: list[float] = []
        self.refused = 0

    def play(self, seconds: float) -> None:
        next_tick = due = 0.0
        while self.clock.now() < seconds:
            self.clock.advance(_STEP)
            now = self.clock.now()
            due += self.offered * _STEP
            while due >= 1:
                due -= 1
                self.begin(2 + self.random.random())
            while self.ends and self.ends[0][0] <= now:
                self.end(heappop(self.ends)[1])
            for key, waiter in list(self.waiting.items()):
                if waiter.deadline <= now:
                    del self.waiting[key]
                    self.admission.withdraw(waiter)
                    self.fail(key)
            if now >= next_tick:
                next_tick = now + AdmissionController.TICK_SECONDS
                self.take(self.admission.tick())
                self.cuts.append((now, self.admission.threshold))

    def known_cut(self) -> float:
        old = [c for at, c in self.cuts[-5:] if at <= self.clock.now() - _DELAY]
        return old[-1] if old else 5.0

    def begin(self, rank: float) -> None:
        if rank >= self.known_cut():
            self.refused += 1
        else:
            self.call(Run(rank, self.clock.now() + _RUN_TIME))

    def call(self, run: Run) -> None:
        self.keys += 1
        now = self.clock.now()
        deadline = min(run.end, now + _CALL_TIME)
        waiter = Waiter(self.keys, run.rank, "read", deadline, now)
        self.runs[waiter.key] = run
        self.waiting[waiter.key] = waiter
        self.take(self.admission.offer(waiter))

    def take(self, decisions) -> None:
        for decision in decisions:
            key = decision.waiter.key
            self.waiting.pop(key, None)
            if isinstance(decision, Start):
                time = _MEAN * self.random.uniform(0.4, 1.6)
                heappush(self.ends, (self.clock.now() + time, key))
            else:
                self.fail(key)

    def end(self, key: int) -> None:
        self.take(self.admission.finish(key))
        run = self.runs.pop(key)
        run.calls += 1
        if self.clock.now() > run.end:
            self.failures.append(self.clock.now())
        elif run.calls < _CALLS:
            self.call(run)
        else:
            self.finished.append((self.clock.now(), run.rank))

    def fail(self, key: int) -> None:
        self.runs.pop(key)
        self.failures.append(self.clock.now())


def goodput(service: DeepService, since: float) -> float:
    """Return the finished runs as a share of the most that are possible."""
    now = service.clock.now()
    count = sum(at > since for at, _ in service.finished)
    return count / (now - since) / (_SLOTS / _MEAN / _CALLS)


def test_runs_that_call_in_a_row_end_in_time_behind_a_full_service():
    """Twice as many runs are offered as the deep service can bear.

    Some of what is begun fails on its way, but the service finishes nearly as
    many runs as it could.
    """
    service = DeepService(offered=290)
    service.play(12.0)
    assert goodput(service, since=4.0) > 0.85


def test_without_overload_nothing_is_refused():
    service = DeepService(offered=110)
    service.play(8.0)
    assert not service.failures
    assert not service.refused


def test_the_service_is_used_whole_at_its_limit():
    service = DeepService(offered=150)
    service.play(12.0)
    assert goodput(service, since=4.0) > 0.9
