"""Admission sheds the least important, says so at once, and recovers."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.admission import (
    AdmissionController,
    AdmissionSettings,
    Refuse,
    Start,
    Waiter,
)
from rattanfork_core.clock import ManualClock
from rattanfork_core.request import Reason

LOAD = (Reason.SHED, Reason.TOO_LATE)
SMALL = AdmissionSettings(
    slots=2, min_queue_length=3, queue_ratio=1.0, queue_delay=0.0, warmup=0.0
)


class Upstream:
    """Drives a controller and keeps the order of what happened."""

    def __init__(self, settings: AdmissionSettings = SMALL) -> None:
        self.clock = ManualClock()
        self.admission = AdmissionController(self.clock, settings)
        self.running: list[Waiter] = []
        self.waiting: dict[int, Waiter] = {}
        self.log: list[tuple[str, Waiter]] = []
        self.keys = 0

    def take(self, decisions) -> None:
        for decision in decisions:
            waiter = decision.waiter
            self.waiting.pop(waiter.key, None)
            if isinstance(decision, Start):
                self.running.append(waiter)
                self.log.append(("start", waiter))
            elif isinstance(decision, Refuse):
                self.log.append((decision.reason.name, waiter))

    def arrive(self, rank: float, patience: float = 60.0) -> Waiter:
        now = self.clock.now()
        self.keys += 1
        waiter = Waiter(self.keys, rank, "op", now + patience, now)
        self.waiting[waiter.key] = waiter
        self.take(self.admission.offer(waiter))
        return waiter

    def finish(self) -> None:
        if self.running:
            self.take(self.admission.finish(self.running.pop(0).key))


STEPS = st.lists(
    st.one_of(
        st.floats(0, 4.99),
        st.sampled_from(["finish", "tick", "pause"]),
    ),
    max_size=80,
)


@given(STEPS)
def test_no_less_important_newcomer_overtakes_one_refused_for_load(steps):
    # A treasurer's posting is refused for load while a later receipt lookup
    # is let in: the promise that important requests are shed last is broken.
    upstream = Upstream()
    for step in steps:
        if step == "finish":
            upstream.finish()
        elif step == "tick":
            upstream.take(upstream.admission.tick())
        elif step == "pause":
            upstream.clock.advance(0.05)
        else:
            upstream.arrive(step)
    started_at = {w.key: i for i, (what, w) in enumerate(upstream.log)}
    for i, (what, refused) in enumerate(upstream.log):
        if what not in ("SHED", "TOO_LATE"):
            continue
        for j, (also, other) in enumerate(upstream.log[:i]):
            later = other.key > refused.key
            assert not (also == "start" and later and other.rank > refused.rank), j
    assert len(started_at) == len(upstream.log)


@given(STEPS)
def test_bounds_hold_and_every_waiter_is_decided_once(steps):
    upstream = Upstream()
    arrived = 0
    for step in steps:
        if isinstance(step, float):
            upstream.arrive(step)
            arrived += 1
        else:
            upstream.finish()
        assert upstream.admission.running <= 2
        assert upstream.admission.waiting <= 3
    decided = [w.key for _, w in upstream.log]
    assert len(decided) == len(set(decided))
    assert len(decided) + len(upstream.waiting) == arrived


def test_the_most_important_waiter_starts_next():
    upstream = Upstream()
    for rank in (2.1, 2.2, 4.5, 0.5, 3.5):
        upstream.arrive(rank)
    upstream.finish()
    assert upstream.log[-1][1].rank == 0.5


def test_a_newcomer_displaces_the_least_important_at_once():
    upstream = Upstream()
    for rank in (2.1, 2.2, 4.5, 2.6, 3.5):
        upstream.arrive(rank)
    upstream.arrive(0.5)
    assert upstream.log[-1][0] == "SHED"
    assert upstream.log[-1][1].rank == 4.5


def test_what_cannot_finish_in_time_is_refused_before_it_queues():
    upstream = Upstream()
    upstream.arrive(2.0)
    upstream.clock.advance(1.0)
    upstream.finish()
    upstream.arrive(2.0)
    late = upstream.arrive(2.0, patience=0.2)
    assert upstream.log[-1] == ("TOO_LATE", late)


def test_the_doomed_leave_the_queue_with_an_answer():
    upstream = Upstream()
    for rank in (1.0, 1.1, 1.2):
        upstream.arrive(rank, patience=0.3)
    upstream.clock.advance(0.5)
    upstream.take(upstream.admission.tick())
    assert [what for what, _ in upstream.log] == ["start", "start", "TOO_LATE"]


def test_a_service_that_recovers_from_slowness_is_not_kept_shut():
    # A run of 10 s made the estimate longer than any caller waits.  Were all
    # refused by the estimate, no run could correct it.
    upstream = Upstream()
    upstream.arrive(2.0)
    upstream.clock.advance(10.0)
    upstream.finish()
    upstream.arrive(2.0, patience=1.0)
    assert upstream.log[-1][0] == "start"


def test_leaving_refuses_the_waiting_and_lets_the_running_end():
    upstream = Upstream()
    for rank in (2.0, 2.1, 2.2):
        upstream.arrive(rank)
    upstream.take(upstream.admission.drain())
    upstream.arrive(0.1)
    assert [what for what, _ in upstream.log[2:]] == ["LEAVING", "LEAVING"]
    assert upstream.admission.running == 2


def test_the_cut_falls_in_a_surge_and_opens_after_it():
    # Demand is ten times what the upstream does; afterwards it is a tenth.
    upstream = Upstream()
    for i in range(300):
        upstream.arrive(3.0 + (i * 37 % 100) / 100)
        upstream.clock.advance(0.005)
        if i % 10 == 0:
            upstream.finish()
        if i % 20 == 0:
            upstream.take(upstream.admission.tick())
    assert upstream.admission.threshold < 3.5
    while upstream.running:
        upstream.finish()
    for _ in range(12):
        upstream.clock.advance(0.1)
        upstream.take(upstream.admission.tick())
    assert upstream.admission.threshold == 5.0


def test_an_upstream_that_hangs_does_not_fill_its_queue():
    """An upstream answers in a millisecond, then hangs without closing anything.

    By its old pace the queue could be served in a fifth of a second, so it
    would take hundreds, who all wait until their deadlines.  Without any
    answer the pace is not believed: what comes late is refused at once and
    finds another instance.
    """
    settings = AdmissionSettings(
        slots=4, min_queue_length=4, queue_ratio=1.0, queue_delay=0.2, warmup=0.0
    )
    upstream = Upstream(settings)
    for _ in range(200):
        upstream.arrive(2.5)
        upstream.clock.advance(0.001)
        upstream.finish()
    for _ in range(300):
        upstream.arrive(2.5)
        upstream.clock.advance(0.002)
    assert upstream.admission.waiting <= 60
    upstream.clock.advance(1.0)
    upstream.take(upstream.admission.tick())
    waiting, told = upstream.admission.waiting, len(upstream.log)
    for _ in range(20):
        upstream.arrive(2.5)
    assert upstream.admission.waiting <= waiting
    assert [r for r, _ in upstream.log[told:] if r in ("SHED", "TOO_LATE")]
    assert len(upstream.log) - told >= 20


def test_a_busy_process_does_not_take_its_own_pause_for_a_hang():
    """Answers of a fast upstream lie unread while this process is busy.

    They are read many at a time, tens of milliseconds apart; what arrives in
    between waits, as it did before, and is not refused.
    """
    settings = AdmissionSettings(
        slots=4, min_queue_length=4, queue_ratio=1.0, queue_delay=0.2, warmup=0.0
    )
    upstream = Upstream(settings)
    for _ in range(200):
        upstream.arrive(2.5)
        upstream.clock.advance(0.001)
        upstream.finish()
    for _ in range(4):
        upstream.arrive(2.5)
    upstream.clock.advance(0.06)
    for _ in range(100):
        upstream.arrive(2.5)
    assert {reason for reason, _ in upstream.log} == {"start"}


def test_a_slow_request_alone_does_not_look_like_a_hang():
    """Most requests are quick, one runs for seconds beside them."""
    settings = AdmissionSettings(
        slots=4, min_queue_length=4, queue_ratio=1.0, queue_delay=0.2, warmup=0.0
    )
    upstream = Upstream(settings)
    upstream.arrive(2.5)
    slow = upstream.running.pop()
    for _ in range(400):
        upstream.arrive(2.5)
        upstream.clock.advance(0.005)
        upstream.finish()
    assert [reason for reason, _ in upstream.log] == ["start"] * 401
    upstream.running.append(slow)


def test_a_successor_is_not_judged_by_the_times_of_the_one_before():
    """An upstream that took a second for each run is replaced by a faster one.

    By the old times, a request with half a second left could not end there.
    """
    clock = ManualClock()
    admission = AdmissionController(clock, AdmissionSettings(slots=2, warmup=0))
    for key in range(20):
        admission.offer(Waiter(key, 2.5, "get", clock.now() + 9, clock.now()))
        clock.advance(1.0)
        admission.finish(key)
    admission.offer(Waiter(98, 2.5, "get", clock.now() + 9, clock.now()))
    hasty = Waiter(99, 2.5, "get", clock.now() + 0.5, clock.now())
    assert [type(d) for d in admission.offer(hasty)] == [Refuse]
    admission.reset_estimates()
    hasty = Waiter(100, 2.5, "get", clock.now() + 0.5, clock.now())
    assert [type(d) for d in admission.offer(hasty)] == [Start]
