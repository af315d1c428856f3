"""Simulation of an overloaded service that each run calls several times in sequence.

Each run makes four sequential calls and has one second for all of them.  If the queue
in front of the service stays long, every call waits in it, runs exceed their deadlines,
and the capacity that they used is wasted.  The service has 33 slots and a mean service
time of 57 ms, so it completes at most 145 runs per second; one of its three instances
is left, and twice as many runs are offered.
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

_CALLS_PER_RUN = 4
_RUN_TIMEOUT = 1.0
_CALL_TIMEOUT = 0.7
_SLOTS = 33
_MEAN_SERVICE_TIME = 0.057
#: Seconds until a new threshold is known at the entry node.
_THRESHOLD_DELAY = 0.05
_STEP = 0.005


@dataclass
class Run:
    rank: float
    end: float
    calls: int = 0


class DeepService:
    """An admission controller, the runs that call through it, and their results."""

    def __init__(self, offered_rate: float, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.offered_rate = offered_rate
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
        self.completions: list[tuple[float, int]] = []
        self.thresholds: list[tuple[float, float]] = [(0.0, 5.0)]
        self.keys = 0
        self.completed: list[tuple[float, float]] = []
        self.failures: list[float] = []
        self.refused = 0

    def simulate(self, seconds: float) -> None:
        next_tick = due_runs = 0.0
        while self.clock.now() < seconds:
            self.clock.advance(_STEP)
            now = self.clock.now()
            due_runs += self.offered_rate * _STEP
            while due_runs >= 1:
                due_runs -= 1
                self.begin(2 + self.random.random())
            while self.completions and self.completions[0][0] <= now:
                self.end(heappop(self.completions)[1])
            for key, waiter in list(self.waiting.items()):
                if waiter.deadline <= now:
                    del self.waiting[key]
                    self.admission.withdraw(waiter)
                    self.fail(key)
            if now >= next_tick:
                next_tick = now + AdmissionController.TICK_SECONDS
                self.apply(self.admission.tick())
                self.thresholds.append((now, self.admission.threshold))

    def known_threshold(self) -> float:
        known = [
            c
            for at, c in self.thresholds[-5:]
            if at <= self.clock.now() - _THRESHOLD_DELAY
        ]
        return known[-1] if known else 5.0

    def begin(self, rank: float) -> None:
        if rank >= self.known_threshold():
            self.refused += 1
        else:
            self.call(Run(rank, self.clock.now() + _RUN_TIMEOUT))

    def call(self, run: Run) -> None:
        self.keys += 1
        now = self.clock.now()
        deadline = min(run.end, now + _CALL_TIMEOUT)
        waiter = Waiter(self.keys, run.rank, "read", deadline, now)
        self.runs[waiter.key] = run
        self.waiting[waiter.key] = waiter
        self.apply(self.admission.offer(waiter))

    def apply(self, decisions) -> None:
        for decision in decisions:
            key = decision.waiter.key
            self.waiting.pop(key, None)
            if isinstance(decision, Start):
                service_time = _MEAN_SERVICE_TIME * self.random.uniform(0.4, 1.6)
                heappush(self.completions, (self.clock.now() + service_time, key))
            else:
                self.fail(key)

    def end(self, key: int) -> None:
        self.apply(self.admission.finish(key))
        run = self.runs.pop(key)
        run.calls += 1
        if self.clock.now() > run.end:
            self.failures.append(self.clock.now())
        elif run.calls < _CALLS_PER_RUN:
            self.call(run)
        else:
            self.completed.append((self.clock.now(), run.rank))

    def fail(self, key: int) -> None:
        self.runs.pop(key)
        self.failures.append(self.clock.now())


def goodput(service: DeepService, since: float) -> float:
    """Return completed runs per second as a fraction of the maximum."""
    now = service.clock.now()
    count = sum(at > since for at, _ in service.completed)
    return count / (now - since) / (_SLOTS / _MEAN_SERVICE_TIME / _CALLS_PER_RUN)


def test_goodput_stays_high_at_twice_the_capacity():
    """Guards against capacity spent on runs that then exceed their deadlines.

    Some runs fail after their first calls, but the service completes nearly as many
    runs as without overload.
    """
    service = DeepService(offered_rate=290)
    service.simulate(12.0)
    assert goodput(service, since=4.0) > 0.85


def test_no_run_is_refused_below_capacity():
    service = DeepService(offered_rate=110)
    service.simulate(8.0)
    assert not service.failures
    assert not service.refused


def test_goodput_is_high_at_capacity():
    service = DeepService(offered_rate=150)
    service.simulate(12.0)
    assert goodput(service, since=4.0) > 0.9
