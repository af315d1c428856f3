"""The threshold for runs whose calls come too late."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.admission import LateCut
from rattanfork_core.clock import ManualClock


@given(st.lists(st.tuples(st.floats(0.0, 4.99), st.floats(0.0, 0.5)), max_size=200))
def test_the_threshold_never_falls_below_the_rank_of_a_late_run(events):
    clock = ManualClock()
    cut = LateCut(clock)
    lowest = 5.0
    for rank, pause in events:
        clock.advance(pause)
        lowest = min(lowest, rank)
        cut.on_late(rank)
        assert max(0.05, lowest) <= cut.value <= 5.0


def test_important_runs_do_not_pay_for_a_few_late_ones():
    """One important run in ten is late by chance; nearly all others are in time.

    A step each lowers the threshold a little; most of the class still passes.
    """
    clock = ManualClock()
    cut = LateCut(clock)
    for _ in range(100):
        clock.advance(0.1)
        cut.on_late(0.1)
    assert cut.value > 0.05
    clock.advance(12.0)
    assert cut.value == 5.0


def test_it_opens_within_seconds_when_calls_are_in_time_again():
    clock = ManualClock()
    cut = LateCut(clock)
    for _ in range(50):
        cut.on_late(2.0)
    assert cut.value < 2.1
    clock.advance(1.0)
    assert round(cut.value, 2) == 2.1
    clock.advance(2.0)
    assert cut.value >= 3.0
