"""The pattern: urgent work keeps coming, and what is less urgent waits in vain.

An upstream takes all that is urgent and a little more.  Its queue is never full, so
nothing is displaced, and who is next in order never gets a slot.
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
    """An upstream with few slots, and arrivals at fixed rates."""

    def __init__(self, longest_wait: float) -> None:
        self.clock = ManualClock(100.0)
        self.admission = AdmissionController(
            self.clock,
            AdmissionSettings(
                slots=4,
                queue_ratio=4.0,
                warmup=0.0,
                adaptive=False,
                max_wait=longest_wait,
            ),
        )
        self.refused: list[tuple[Reason, float, float]] = []
        self.served: list[float] = []
        self._running: list[tuple[float, Waiter]] = []
        self._key = 0
        self._owed: dict[float, float] = {}

    def run(self, seconds: float, rates: dict[float, float]) -> None:
        """Let requests of some ranks arrive, so many a second of each."""
        owed = self._owed
        for step in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            now = self.clock.now()
            for end, waiter in list(self._running):
                if end <= now:
                    self._running.remove((end, waiter))
                    self.served.append(waiter.rank)
                    self._apply(self.admission.finish(waiter.key))
            for rank, rate in rates.items():
                owed.setdefault(rank, 0.0)
                owed[rank] += rate * STEP
                while owed[rank] >= 1:
                    owed[rank] -= 1
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


#: Slots serve 80 a second; 78 of these are urgent, so 2 are left for 6 others.
RATES = {1.1: 78.0, 1.5: 6.0}


def test_starved_waiter_is_told_while_it_has_time_left():
    """Guards against calls that wait until the run above them has no time left."""
    upstream = Upstream(longest_wait=0.2)
    upstream.run(10.0, RATES)
    waits = [waited for _, rank, waited in upstream.refused if rank == 1.5]
    assert waits
    assert max(waits) <= 0.35


def test_starved_waiter_lowers_the_threshold_that_is_announced():
    """Guards against first nodes that go on sending what never gets a slot."""
    lowest = {}
    for longest_wait in (0.2, inf):
        upstream = Upstream(longest_wait)
        lowest[longest_wait] = upstream.admission.threshold
        for _ in range(100):
            upstream.run(0.1, RATES)
            cut = upstream.admission.threshold
            lowest[longest_wait] = min(lowest[longest_wait], cut)
    assert lowest[0.2] < 1.6
    assert lowest[inf] == 5.0


def test_urgent_work_loses_nothing_by_it():
    upstream = Upstream(longest_wait=0.2)
    upstream.run(10.0, RATES)
    assert not [rank for _, rank, _ in upstream.refused if rank == 1.1]


def test_slow_upstream_is_given_the_time_of_a_run():
    """Guards against shedding what would be served by the next slot."""
    upstream = Upstream(longest_wait=0.01)
    upstream.run(5.0, {1.1: 76.0})
    assert len(upstream.refused) <= 0.02 * len(upstream.served)
