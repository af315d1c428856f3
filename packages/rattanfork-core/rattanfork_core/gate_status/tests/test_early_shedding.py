"""What every instance would refuse is refused at once, and nothing else."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import EarlyShedder
from rattanfork_core.routing import InstancePicker, InstanceState


def setting(count: int = 2) -> tuple[ManualClock, InstancePicker, EarlyShedder]:
    clock = ManualClock(10.0)
    picker = InstancePicker("n", "dc1", clock, Random(1))
    picker.update([InstanceState(f"i{n}", "dc1") for n in range(count)])
    return clock, picker, EarlyShedder(clock)


@given(st.lists(st.floats(0.0, 5.0), min_size=1, max_size=4), st.floats(0.0, 4.99))
def test_refused_is_only_what_all_would_shed(cuts, rank):
    _, picker, early = setting(len(cuts))
    for number, cut in enumerate(cuts):
        early.update("op", f"i{number}", cut)
    blocked = early.shedding_instances(picker, "op", rank)
    if any(rank < cut for cut in cuts):
        assert blocked is not None
        assert len(blocked) < len(cuts)


def test_without_replies_a_threshold_opens_by_itself():
    """All requests are refused early, so no reply tells that there is room."""
    clock, picker, early = setting(1)
    early.update("op", "i0", 1.0)
    assert early.shedding_instances(picker, "op", 3.5) is None
    clock.advance(3.0)
    assert early.shedding_instances(picker, "op", 3.5) == frozenset()


def begun(seconds: float, opens_at: float) -> list[float]:
    """Offer 25 requests a second to three shut instances; return who passes.

    Each run takes 0.7 s and brings the threshold of its end with it.
    """
    clock, picker, early = setting(3)
    random = Random(1)
    replies: list[tuple[float, str]] = []
    passed = []
    for state in picker.subset:
        early.update("op", state.name, 0.6)
    for _ in range(int(seconds * 25)):
        clock.advance(0.04)
        now = clock.now()
        while replies and replies[0][0] <= now:
            at, name = replies.pop(0)
            early.update("op", name, 5.0 if at >= opens_at else 0.6)
        blocked = early.shedding_instances(picker, "op", 2.0 + random.random())
        if blocked is not None:
            passed.append(now)
            replies.append((now + 0.7, picker.pick(blocked)))
    return passed


def test_few_requests_are_begun_at_a_service_that_stays_shut_to_them():
    """A deep service sheds all of a class for as long as the test lasts.

    No reply renews what was heard, so the class has to be tried now and then.
    Opened by time alone, 31 in 100 were begun, and failed after work in every
    service above; one probe at a time and instance is enough to notice.
    """
    assert len(begun(12.0, opens_at=1e9)) < 0.1 * 12 * 25


def test_a_service_that_has_opened_is_noticed_within_seconds():
    passed = [at for at in begun(20.0, opens_at=20.0) if at > 22.5]
    assert len(passed) > 0.95 * 7.5 * 25


def test_one_request_may_test_a_threshold_without_news():
    clock, picker, early = setting(1)
    early.update("op", "i0", 2.0)
    clock.advance(0.3)
    assert early.shedding_instances(picker, "op", 2.1) == frozenset()
    assert early.shedding_instances(picker, "op", 2.1) is None


def test_the_word_of_an_instance_that_mostly_fails_does_not_count():
    _, picker, early = setting(2)
    early.update("op", "i0", 1.0)
    early.update("op", "i1", 4.0)
    for _ in range(30):
        picker.states["i1"].on_sent(0.0)
        picker.states["i1"].on_done(0.01, 0.0, failed=True)
    assert early.highest_threshold(picker, "op") == 1.0
    assert early.highest_threshold(picker, "op", own="i0", own_cut=2.0) == 2.0
