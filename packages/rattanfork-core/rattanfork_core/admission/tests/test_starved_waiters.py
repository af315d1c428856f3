"""Tests of the maximum wait, with waiters that are starved by lower ranks.

Arrivals of low rank use nearly all slots of an upstream.  Its queue never fills, so
nothing is displaced, and waiters of higher rank rarely get a slot.
"""

from math import inf

from rattanfork_core.admission import (
    AdmissionController,
    AdmissionSettings,
    Refuse,
    Start,
    Waiter,
)
from rattanfork_core.clock import ManualClock
from rattanfork_core.request import Reason

SERVICE_TIME = 0.05
STEP = 0.01


class Upstream:
    """An upstream with four slots, and arrivals at fixed rates."""

    def __init__(self, max_wait: float) -> None:
        self.clock = ManualClock(100.0)
        self.admission = AdmissionController(
            self.clock,
            AdmissionSettings(
                slots=4,
                queue_ratio=4.0,
                warmup=0.0,
                adaptive=False,
                max_wait=max_wait,
            ),
        )
        self.refused: list[tuple[Reason, float, float]] = []
        self.served: list[float] = []
        self._running: list[tuple[float, Waiter]] = []
        self._key = 0
        self._due: dict[float, float] = {}

    def run(self, seconds: float, rates: dict[float, float]) -> None:
        """Simulate arrivals; ``rates`` maps ranks to requests per second."""
        due = self._due
        for step in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            now = self.clock.now()
            for end, waiter in list(self._running):
                if end <= now:
                    self._running.remove((end, waiter))
                    self.served.append(waiter.rank)
                    self._apply(self.admission.finish(waiter.key))
            for rank, rate in rates.items():
                due.setdefault(rank, 0.0)
                due[rank] += rate * STEP
                while due[rank] >= 1:
                    due[rank] -= 1
                    self._key += 1
                    waiter = Waiter(self._key, rank, "read", now + 1.0, now)
                    self._apply(self.admission.offer(waiter))
            if step % 10 == 0:
                self._apply(self.admission.tick())

    def _apply(self, decisions) -> None:
        now = self.clock.now()
        for decision in decisions:
            waiter = decision.waiter
            if isinstance(decision, Start):
                self._running.append((now + SERVICE_TIME, waiter))
            elif isinstance(decision, Refuse):
                waited = now - waiter.arrived
                self.refused.append((decision.reason, waiter.rank, waited))


#: Requests per second by rank.  The slots serve 80: 78 of rank 1.1, which leaves 2 for
#: the 6 of rank 1.5.
RATES = {1.1: 78.0, 1.5: 6.0}


def test_starved_waiter_is_shed_before_its_deadline():
    """Guards against calls that wait until their run has no time left for a retry."""
    upstream = Upstream(max_wait=0.2)
    upstream.run(10.0, RATES)
    waits = [waited for _, rank, waited in upstream.refused if rank == 1.5]
    assert waits
    assert max(waits) <= 0.35


def test_starved_waiter_lowers_announced_threshold():
    """Guards against nodes that keep sending requests which never get a slot."""
    lowest = {}
    for max_wait in (0.2, inf):
        upstream = Upstream(max_wait)
        lowest[max_wait] = upstream.admission.threshold
        for _ in range(100):
            upstream.run(0.1, RATES)
            threshold = upstream.admission.threshold
            lowest[max_wait] = min(lowest[max_wait], threshold)
    assert lowest[0.2] < 1.6
    assert lowest[inf] == 5.0


def test_max_wait_sheds_no_requests_of_low_rank():
    upstream = Upstream(max_wait=0.2)
    upstream.run(10.0, RATES)
    assert not [rank for _, rank, _ in upstream.refused if rank == 1.1]


def test_max_wait_is_at_least_mean_service_time():
    """Guards against shedding waiters that the next free slot would serve."""
    upstream = Upstream(max_wait=0.01)
    upstream.run(5.0, {1.1: 76.0})
    assert len(upstream.refused) <= 0.02 * len(upstream.served)
