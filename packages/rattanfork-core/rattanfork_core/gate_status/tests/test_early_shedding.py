"""Tests of early shedding: only requests that every instance would shed are shed."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import EarlyShedder
from rattanfork_core.routing import InstancePicker, InstanceState


def make_shedder(count: int = 2) -> tuple[ManualClock, InstancePicker, EarlyShedder]:
    clock = ManualClock(10.0)
    picker = InstancePicker("n", "dc1", clock, Random(1))
    picker.update([InstanceState(f"i{n}", "dc1") for n in range(count)])
    return clock, picker, EarlyShedder(clock)


@given(st.lists(st.floats(0.0, 5.0), min_size=1, max_size=4), st.floats(0.0, 4.99))
def test_request_is_shed_only_if_all_instances_would_shed_it(thresholds, rank):
    _, picker, shedder = make_shedder(len(thresholds))
    for number, threshold in enumerate(thresholds):
        shedder.update("op", f"i{number}", threshold)
    shedding = shedder.shedding_instances(picker, "op", rank)
    if any(rank < threshold for threshold in thresholds):
        assert shedding is not None
        assert len(shedding) < len(thresholds)


def test_threshold_without_replies_opens_over_time():
    """If all requests are shed early, no reply reports that the gate has opened."""
    clock, picker, shedder = make_shedder(1)
    shedder.update("op", "i0", 1.0)
    assert shedder.shedding_instances(picker, "op", 3.5) is None
    clock.advance(3.0)
    assert shedder.shedding_instances(picker, "op", 3.5) == frozenset()


def admission_times(seconds: float, opens_at: float) -> list[float]:
    """Send 25 requests a second to three shedding instances; return when one passed.

    Each run takes 0.7 s, and its reply carries the threshold at its end.
    """
    clock, picker, shedder = make_shedder(3)
    random = Random(1)
    replies: list[tuple[float, str]] = []
    admitted_at = []
    for state in picker.subset:
        shedder.update("op", state.name, 0.6)
    for _ in range(int(seconds * 25)):
        clock.advance(0.04)
        now = clock.now()
        while replies and replies[0][0] <= now:
            at, name = replies.pop(0)
            shedder.update("op", name, 5.0 if at >= opens_at else 0.6)
        shedding = shedder.shedding_instances(picker, "op", 2.0 + random.random())
        if shedding is not None:
            admitted_at.append(now)
            replies.append((now + 0.7, picker.pick(shedding)))
    return admitted_at


def test_few_requests_pass_while_all_instances_shed_their_rank():
    """A service sheds an importance class for the whole duration of the test.

    No other request renews the thresholds, so a few have to pass as probes.  When
    thresholds opened by time alone, 31 in 100 passed and failed after work in every
    service before it; one probe at a time per instance is enough.
    """
    assert len(admission_times(12.0, opens_at=1e9)) < 0.1 * 12 * 25


def test_requests_pass_within_seconds_after_the_service_opens():
    admitted = [at for at in admission_times(20.0, opens_at=20.0) if at > 22.5]
    assert len(admitted) > 0.95 * 7.5 * 25


def test_one_probe_passes_after_a_time_without_reports():
    clock, picker, shedder = make_shedder(1)
    shedder.update("op", "i0", 2.0)
    clock.advance(0.3)
    assert shedder.shedding_instances(picker, "op", 2.1) == frozenset()
    assert shedder.shedding_instances(picker, "op", 2.1) is None


def test_threshold_of_a_mostly_failing_instance_is_ignored():
    _, picker, shedder = make_shedder(2)
    shedder.update("op", "i0", 1.0)
    shedder.update("op", "i1", 4.0)
    for _ in range(30):
        picker.states["i1"].on_sent(0.0)
        picker.states["i1"].on_done(0.01, 0.0, failed=True)
    assert shedder.highest_threshold(picker, "op") == 1.0
    assert (
        shedder.highest_threshold(picker, "op", own_instance="i0", own_threshold=2.0)
        == 2.0
    )
