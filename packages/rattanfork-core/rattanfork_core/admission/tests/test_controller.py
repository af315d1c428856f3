"""Tests of the admission controller: shedding order, queue bounds and recovery."""

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
    """Drives an admission controller and logs its decisions in order."""

    def __init__(self, settings: AdmissionSettings = SMALL) -> None:
        self.clock = ManualClock()
        self.admission = AdmissionController(self.clock, settings)
        self.running: list[Waiter] = []
        self.waiting: dict[int, Waiter] = {}
        self.log: list[tuple[str, Waiter]] = []
        self.keys = 0

    def apply(self, decisions) -> None:
        for decision in decisions:
            waiter = decision.waiter
            self.waiting.pop(waiter.key, None)
            if isinstance(decision, Start):
                self.running.append(waiter)
                self.log.append(("start", waiter))
            elif isinstance(decision, Refuse):
                self.log.append((decision.reason.name, waiter))

    def arrive(self, rank: float, timeout: float = 60.0) -> Waiter:
        now = self.clock.now()
        self.keys += 1
        waiter = Waiter(self.keys, rank, "op", now + timeout, now)
        self.waiting[waiter.key] = waiter
        self.apply(self.admission.offer(waiter))
        return waiter

    def finish(self) -> None:
        if self.running:
            self.apply(self.admission.finish(self.running.pop(0).key))


STEPS = st.lists(
    st.one_of(
        st.floats(0, 4.99),
        st.sampled_from(["finish", "tick", "pause"]),
    ),
    max_size=80,
)


@given(STEPS)
def test_no_later_request_of_higher_rank_starts_before_one_refused_for_load(steps):
    # Guards against shedding out of order: a request is refused for load while one
    # that arrived later and has a higher rank was admitted.
    upstream = Upstream()
    for step in steps:
        if step == "finish":
            upstream.finish()
        elif step == "tick":
            upstream.apply(upstream.admission.tick())
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
def test_limits_hold_and_every_request_is_decided_once(steps):
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


def test_waiter_of_lowest_rank_starts_next():
    upstream = Upstream()
    for rank in (2.1, 2.2, 4.5, 0.5, 3.5):
        upstream.arrive(rank)
    upstream.finish()
    assert upstream.log[-1][1].rank == 0.5


def test_arrival_at_full_queue_displaces_waiter_of_highest_rank():
    upstream = Upstream()
    for rank in (2.1, 2.2, 4.5, 2.6, 3.5):
        upstream.arrive(rank)
    upstream.arrive(0.5)
    assert upstream.log[-1][0] == "SHED"
    assert upstream.log[-1][1].rank == 4.5


def test_request_that_cannot_meet_its_deadline_is_refused_on_arrival():
    upstream = Upstream()
    upstream.arrive(2.0)
    upstream.clock.advance(1.0)
    upstream.finish()
    upstream.arrive(2.0)
    late = upstream.arrive(2.0, timeout=0.2)
    assert upstream.log[-1] == ("TOO_LATE", late)


def test_waiter_that_cannot_meet_its_deadline_is_refused_at_tick():
    upstream = Upstream()
    for rank in (1.0, 1.1, 1.2):
        upstream.arrive(rank, timeout=0.3)
    upstream.clock.advance(0.5)
    upstream.apply(upstream.admission.tick())
    assert [what for what, _ in upstream.log] == ["start", "start", "TOO_LATE"]


def test_idle_upstream_gets_a_request_despite_long_estimate():
    # A run of 10 s makes the estimate longer than any timeout.  If the estimate
    # refused every request, no run could correct it.
    upstream = Upstream()
    upstream.arrive(2.0)
    upstream.clock.advance(10.0)
    upstream.finish()
    upstream.arrive(2.0, timeout=1.0)
    assert upstream.log[-1][0] == "start"


def test_draining_refuses_waiting_requests_and_keeps_running_ones():
    upstream = Upstream()
    for rank in (2.0, 2.1, 2.2):
        upstream.arrive(rank)
    upstream.apply(upstream.admission.drain())
    upstream.arrive(0.1)
    assert [what for what, _ in upstream.log[2:]] == ["LEAVING", "LEAVING"]
    assert upstream.admission.running == 2


def test_threshold_falls_in_surge_and_rises_after_it():
    # Ten requests arrive for each that completes; afterwards none arrive.
    upstream = Upstream()
    for i in range(300):
        upstream.arrive(3.0 + (i * 37 % 100) / 100)
        upstream.clock.advance(0.005)
        if i % 10 == 0:
            upstream.finish()
        if i % 20 == 0:
            upstream.apply(upstream.admission.tick())
    assert upstream.admission.threshold < 3.5
    while upstream.running:
        upstream.finish()
    for _ in range(12):
        upstream.clock.advance(0.1)
        upstream.apply(upstream.admission.tick())
    assert upstream.admission.threshold == 5.0


def test_queue_of_hanging_upstream_stays_short():
    """Guards against hundreds of requests that wait at an upstream which hangs.

    It answers in 1 ms, then hangs with its connections open.  At its old throughput,
    the queue bound of 0.2 s would admit hundreds, which all wait until their
    deadlines instead of being refused and retried at another instance.
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
    upstream.apply(upstream.admission.tick())
    waiting, decided = upstream.admission.waiting, len(upstream.log)
    for _ in range(20):
        upstream.arrive(2.5)
    assert upstream.admission.waiting <= waiting
    assert [r for r, _ in upstream.log[decided:] if r in ("SHED", "TOO_LATE")]
    assert len(upstream.log) - decided >= 20


def test_pause_of_event_loop_is_not_taken_for_hanging_upstream():
    """Guards against refusals while a busy event loop delays reading responses.

    Responses are then read in batches, tens of milliseconds apart; requests that
    arrive in between have to wait.
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


def test_one_slow_run_is_not_taken_for_hanging_upstream():
    """Guards against refusals while one run takes seconds and the others are fast."""
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


def test_estimates_are_reset_when_upstream_is_replaced():
    """Guards against refusals by the service times of a replaced upstream.

    Its runs took 1 s, so a request with 0.5 s left was refused; its replacement may
    be faster.
    """
    clock = ManualClock()
    admission = AdmissionController(clock, AdmissionSettings(slots=2, warmup=0))
    for key in range(20):
        admission.offer(Waiter(key, 2.5, "get", clock.now() + 9, clock.now()))
        clock.advance(1.0)
        admission.finish(key)
    admission.offer(Waiter(98, 2.5, "get", clock.now() + 9, clock.now()))
    urgent = Waiter(99, 2.5, "get", clock.now() + 0.5, clock.now())
    assert [type(d) for d in admission.offer(urgent)] == [Refuse]
    admission.reset_estimates()
    urgent = Waiter(100, 2.5, "get", clock.now() + 0.5, clock.now())
    assert [type(d) for d in admission.offer(urgent)] == [Start]
