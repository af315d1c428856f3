"""Tests of the tracker: late announcements and ended incarnations are ignored."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.announcements import Announcement, AnnouncementTracker
from rattanfork_core.clock import ManualClock


def announce(
    upstream: str, sequence: int, leaving: bool = False, born: int = 0
) -> Announcement:
    return Announcement(upstream, "s", "h", 1, 8, sequence, leaving, 0.0, born)


def test_late_announcement_does_not_revert_leaving():
    """An announcement sent before the one with ``leaving`` arrives after it.

    If it were accepted, the upstream would get new requests, which it would abort.
    """
    tracker = AnnouncementTracker(ManualClock())
    tracker.accept(announce("a", 5, leaving=True))
    assert not tracker.accept(announce("a", 4))
    assert tracker.current.leaving


def test_leaving_is_final_for_an_incarnation():
    """Guards against an acknowledged leaving that a later announcement reverts."""
    tracker = AnnouncementTracker(ManualClock())
    tracker.accept(announce("a", 5, leaving=True, born=1000))
    assert not tracker.accept(announce("a", 6, born=1000))
    assert tracker.is_retired("a")
    assert tracker.accept(announce("a", 1, born=2000))
    assert not tracker.is_retired("a")


def test_leaving_with_an_old_sequence_is_not_ignored():
    """Guards against an acknowledged leaving without effect."""
    tracker = AnnouncementTracker(ManualClock())
    tracker.accept(announce("a", 9))
    tracker.accept(announce("a", 8, leaving=True))
    assert tracker.is_retired("a")
    assert not tracker.accept(announce("a", 10))


def test_late_leaving_of_a_predecessor_does_not_retire_its_successor():
    """Guards against a running upstream that gets no requests.

    The process started after the predecessor had ended, so the successor is first.
    """
    tracker = AnnouncementTracker(ManualClock())
    tracker.accept(announce("new", 4))
    assert not tracker.accept(announce("old", 9, leaving=True))
    assert tracker.current.upstream == "new"
    assert tracker.accept(announce("new", 5))


def test_announcement_of_a_retired_upstream_with_unknown_start_is_not_accepted():
    """Guards against a late announcement that counts as one of a successor."""
    clock = ManualClock()
    tracker = AnnouncementTracker(clock)
    tracker.retire("a")
    clock.advance(5.0)
    assert not tracker.accept(announce("a", 7, born=1000))
    assert not tracker.accept(announce("a", 6, born=1000))
    assert tracker.accept(announce("a", 1, born=2000))


def test_running_upstream_is_not_taken_for_a_predecessor_of_an_earlier_process():
    """Guards against an upstream that is retired for good after a restart of its node.

    It has the ID of one that had left before, whose start was not known.
    """
    clock = ManualClock()
    tracker = AnnouncementTracker(clock)
    tracker.accept(announce("a", 5, born=2000))
    tracker.restore("a", 0)
    assert not tracker.accept(announce("a", 6, born=2000))
    clock.advance(11.0)
    assert tracker.accept(announce("a", 7, born=2000))
    tracker.restore("a", 0)
    assert tracker.accept(announce("a", 8, born=2000))
    restarted = AnnouncementTracker(clock)
    restarted.restore("a", tracker.retired_start("a"))
    assert restarted.accept(announce("a", 9, born=2000))


def test_restored_retirement_of_a_succeeded_upstream_holds():
    """Guards against a leaving that a probe reverts after a late announcement."""
    tracker = AnnouncementTracker(ManualClock())
    tracker.accept(announce("new", 3, born=2000))
    tracker.accept(announce("old", 9, born=1000))
    tracker.restore("new", 2000)
    assert not tracker.reinstate("new")


def test_restored_retirement_applies_to_what_was_announced_before_it():
    """Guards against a late announcement that comes before the store has answered."""
    tracker = AnnouncementTracker(ManualClock())
    tracker.accept(announce("a", 5, born=1000))
    tracker.restore("a", 1000)
    assert tracker.current is None
    assert not tracker.accept(announce("a", 6, born=1000))


def test_successor_of_an_upstream_with_unknown_start_is_accepted():
    """Guards against an upstream that is taken for its predecessor for good."""
    clock = ManualClock()
    tracker = AnnouncementTracker(clock)
    tracker.retire("a")
    clock.advance(5.0)
    assert not tracker.accept(announce("a", 1, born=2000))
    clock.advance(6.0)
    assert tracker.accept(announce("a", 2, born=2000))


def test_late_announcement_of_a_crashed_upstream_does_not_replace_its_successor():
    """An upstream crashes, and its successor announces itself at the same address.

    If a delayed announcement of the crashed one were accepted, requests would be sent
    to an incarnation that no longer exists, and all be refused.
    """
    tracker = AnnouncementTracker(ManualClock())
    tracker.accept(announce("old", 9))
    tracker.accept(announce("new", 1))
    assert not tracker.accept(announce("old", 10))
    assert tracker.current.upstream == "new"


def test_announcement_of_a_retired_upstream_is_not_accepted():
    tracker = AnnouncementTracker(ManualClock())
    tracker.accept(announce("a", 1))
    assert tracker.retire("a")
    assert not tracker.accept(announce("a", 2))
    assert tracker.current is None
    assert not tracker.retire("stranger")
    assert tracker.is_retired("stranger")


def test_upstream_restarted_with_its_id_is_accepted():
    """An upstream crashes and restarts with the same ID.

    Its sequence restarts.  If its announcements were taken for late ones of the crashed
    incarnation, all would be ignored, and the upstream would get no more requests.
    """
    tracker = AnnouncementTracker(ManualClock())
    tracker.accept(announce("a", 40, born=1000))
    assert tracker.accept(announce("a", 1, born=2000))
    assert not tracker.accept(announce("a", 41, born=1000))
    assert tracker.current.sequence == 1


def test_leaving_of_an_incarnation_does_not_apply_to_the_next():
    tracker = AnnouncementTracker(ManualClock())
    tracker.accept(announce("a", 5, leaving=True, born=1000))
    tracker.retire("a", 1000)
    assert tracker.accept(announce("a", 1, born=2000))
    assert not tracker.current.leaving
    assert not tracker.is_retired("a")


def test_late_departure_does_not_retire_the_next_incarnation():
    """The departure of an incarnation arrives after an announcement of the next.

    If it were applied to the next one, a running upstream would get no requests.
    """
    tracker = AnnouncementTracker(ManualClock())
    tracker.accept(announce("a", 5, born=1000))
    tracker.accept(announce("a", 1, born=2000))
    assert not tracker.retire("a", 1000)
    assert tracker.current.born == 2000


def test_starts_of_different_ids_are_not_compared():
    """A new upstream with another ID has a clock that is behind.

    By that clock it started earlier than the upstream that it replaces.
    """
    tracker = AnnouncementTracker(ManualClock())
    tracker.accept(announce("old", 9, born=9000))
    assert tracker.accept(announce("new", 1, born=1000))
    assert tracker.current.upstream == "new"


@given(
    st.lists(
        st.tuples(
            st.sampled_from("ab"),
            st.integers(1, 4),
            st.booleans(),
            st.integers(1, 3),
            st.booleans(),
        ),
        max_size=30,
    )
)
def test_retired_incarnation_is_never_current_again(events):
    """Two upstreams restart repeatedly; their messages arrive in any order."""
    tracker = AnnouncementTracker(ManualClock())
    retired: set[tuple[str, int]] = set()
    for upstream, sequence, leaving, born, departed in events:
        before = tracker.current
        if departed:
            tracker.retire(upstream, born)
            retired.add((upstream, born))
        elif tracker.accept(announce(upstream, sequence, leaving, born)):
            assert (upstream, born) not in retired
            if before is not None and (before.upstream, before.born) != (
                upstream,
                born,
            ):
                retired.add((before.upstream, before.born))
        current = tracker.current
        assert current is None or (current.upstream, current.born) not in retired


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 9), st.booleans()), max_size=30
    )
)
def test_accepted_sequences_of_an_incarnation_increase(announcements):
    tracker = AnnouncementTracker(ManualClock())
    last: dict[str, int] = {}
    for upstream, sequence, leaving in announcements:
        if tracker.accept(announce(upstream, sequence, leaving)):
            assert sequence > last.get(upstream, 0)
            last[upstream] = sequence
            assert tracker.current.upstream == upstream


def test_largest_sequence_does_not_hold_for_good():
    """Guards against an upstream whose announcements all count as late after one."""
    clock = ManualClock()
    for born, sequence in ((1000, 2**62 - 1), (2**62 - 1, 1)):
        tracker = AnnouncementTracker(clock)
        assert tracker.accept(announce("a", 5, born=1000))
        assert tracker.accept(announce("a", sequence, born=born))
        for number in (6, 11, 16):
            assert not tracker.accept(announce("a", number, born=1000))
            clock.advance(5.0)
        assert tracker.accept(announce("a", 17, born=1000))
        assert tracker.current.sequence == 17
        assert tracker.accept(announce("a", 18, True, born=1000))
        assert tracker.current.leaving
        clock.advance(20.0)
        assert not tracker.accept(announce("a", 19, born=1000))
        assert tracker.current.leaving
