"""Tests of the concurrency limit: internal queueing, slower runs, warm-up."""

from rattanfork_core.admission import ConcurrencyLimit
from rattanfork_core.clock import ManualClock


def complete_run(
    limit: ConcurrencyLimit, clock: ManualClock, true_slots: int, service_time: float
):
    """Complete a run at an upstream that queues internally beyond its true slots."""
    running = limit.current
    duration = service_time * max(1.0, running / true_slots)
    clock.advance(duration / running)
    limit.on_finish("op", clock.now() - duration, duration, limited=True)


def test_limit_falls_when_upstream_announces_ten_times_its_slots():
    # The upstream announces 100 slots and has 10: beyond 10 it queues internally,
    # and service times grow with the limit.
    clock = ManualClock()
    limit = ConcurrencyLimit(clock, slots=100)
    for _ in range(50):
        limit.on_finish("op", clock.now() - 0.1, 0.1, limited=False)
    for _ in range(3000):
        complete_run(limit, clock, true_slots=10, service_time=0.1)
    assert limit.current <= 35


def test_slower_runs_do_not_lower_limit():
    # A service that the upstream calls became five times slower.  A lower limit
    # would not make it faster, only leave slots unused.
    clock = ManualClock()
    limit = ConcurrencyLimit(clock, slots=20)
    for _ in range(100):
        complete_run(limit, clock, true_slots=20, service_time=0.1)
    for _ in range(1000):
        complete_run(limit, clock, true_slots=20, service_time=0.5)
    assert limit.current >= 18


def test_limit_of_cold_instance_rises_during_warmup():
    clock = ManualClock()
    limit = ConcurrencyLimit(clock, slots=100, warmup=2.0)
    cold = limit.current
    clock.advance(1.0)
    warm = limit.current
    clock.advance(5.0)
    assert cold < warm < limit.current == 100
