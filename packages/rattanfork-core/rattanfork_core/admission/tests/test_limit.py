"""The limit tells a queue inside the upstream from slower runs."""

from rattanfork_core.admission import ConcurrencyLimit
from rattanfork_core.clock import ManualClock


def run(limit: ConcurrencyLimit, clock: ManualClock, true_slots: int, work: float):
    """Let one run end at an upstream that queues beyond its true slots."""
    running = limit.current
    duration = work * max(1.0, running / true_slots)
    clock.advance(duration / running)
    limit.on_finish("op", clock.now() - duration, duration, binding=True)


def test_announced_slots_ten_times_too_many_are_found_out():
    # The upstream announces 100 slots and has 10: beyond, it queues inside,
    # and service times grow with the limit.
    clock = ManualClock()
    limit = ConcurrencyLimit(clock, slots=100)
    for _ in range(50):
        limit.on_finish("op", clock.now() - 0.1, 0.1, binding=False)
    for _ in range(3000):
        run(limit, clock, true_slots=10, work=0.1)
    assert limit.current <= 35


def test_slower_runs_do_not_lower_the_limit():
    # A deep service became five times slower: fewer runs at a time would
    # not make it faster, only waste the slots.
    clock = ManualClock()
    limit = ConcurrencyLimit(clock, slots=20)
    for _ in range(100):
        run(limit, clock, true_slots=20, work=0.1)
    for _ in range(1000):
        run(limit, clock, true_slots=20, work=0.5)
    assert limit.current >= 18


def test_a_cold_instance_gets_a_rising_share():
    clock = ManualClock()
    limit = ConcurrencyLimit(clock, slots=100, warmup=2.0)
    cold = limit.current
    clock.advance(1.0)
    warm = limit.current
    clock.advance(5.0)
    assert cold < warm < limit.current == 100
