"""What every instance would refuse is refused at once, and nothing else."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.hints import EarlyRefusal
from rattanfork_core.routing import InstancePicker, InstanceState


def setting(count: int = 2) -> tuple[ManualClock, InstancePicker, EarlyRefusal]:
    clock = ManualClock(10.0)
    picker = InstancePicker("n", "dc1", clock, Random(1))
    picker.update([InstanceState(f"i{n}", "dc1") for n in range(count)])
    return clock, picker, EarlyRefusal(clock)


@given(st.lists(st.floats(0.0, 5.0), min_size=1, max_size=4), st.floats(0.0, 4.99))
def test_refused_is_only_what_all_would_shed(cuts, rank):
    _, picker, early = setting(len(cuts))
    for number, cut in enumerate(cuts):
        early.hear("op", f"i{number}", cut)
    blocked = early.blocked(picker, "op", rank)
    if any(rank < cut for cut in cuts):
        assert blocked is not None
        assert len(blocked) < len(cuts)


def test_without_replies_a_threshold_opens_by_itself():
    """All requests are refused early, so no reply tells that there is room."""
    clock, picker, early = setting(1)
    early.hear("op", "i0", 1.0)
    assert early.blocked(picker, "op", 3.5) is None
    clock.advance(3.0)
    assert early.blocked(picker, "op", 3.5) == frozenset()


def test_one_request_may_test_a_threshold_without_news():
    clock, picker, early = setting(1)
    early.hear("op", "i0", 2.0)
    clock.advance(0.3)
    assert early.blocked(picker, "op", 2.1) == frozenset()
    assert early.blocked(picker, "op", 2.1) is None


def test_the_word_of_an_instance_that_mostly_fails_does_not_count():
    _, picker, early = setting(2)
    early.hear("op", "i0", 1.0)
    early.hear("op", "i1", 4.0)
    for _ in range(30):
        picker.states["i1"].on_sent()
        picker.states["i1"].on_done(0.01, failed=True)
    assert early.highest(picker, "op") == 1.0
    assert early.highest(picker, "op", own="i0", own_cut=2.0) == 2.0
