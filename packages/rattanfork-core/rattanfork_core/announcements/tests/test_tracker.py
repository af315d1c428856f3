"""Tests of the order of announcements."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.announcements import Announcement, AnnouncementTracker


def says(
    upstream: str, sequence: int, leaving: bool = False, born: int = 0
) -> Announcement:
    return Announcement(upstream, "s", "h", 1, 8, sequence, leaving, 0.0, born)


def test_a_late_announcement_does_not_bring_back_who_is_leaving():
    """An upstream says that it is leaving; its announcement before is late.

    It arrives after.  Taken at its word, the upstream would get new work
    that it is about to cut off.
    """
    book = AnnouncementTracker()
    book.accept(says("a", 5, leaving=True))
    assert not book.accept(says("a", 4))
    assert book.current.leaving


def test_an_upstream_that_stays_after_all_is_taken_back():
    book = AnnouncementTracker()
    book.accept(says("a", 5, leaving=True))
    assert book.accept(says("a", 6))
    assert not book.current.leaving


def test_a_dead_incarnation_does_not_replace_its_successor():
    """An upstream crashes; its successor announces itself at the address.

    An announcement of the dead one, held up on the way, arrives last.
    Requests would name an incarnation that nobody is, and all be refused.
    """
    book = AnnouncementTracker()
    book.accept(says("old", 9))
    book.accept(says("new", 1))
    assert not book.accept(says("old", 10))
    assert book.current.upstream == "new"


def test_who_has_left_does_not_come_back():
    book = AnnouncementTracker()
    book.accept(says("a", 1))
    assert book.retire("a")
    assert not book.accept(says("a", 2))
    assert book.current is None
    assert not book.retire("stranger")
    assert book.is_retired("stranger")


def test_an_upstream_that_starts_again_under_its_id_is_heard():
    """An upstream crashes and starts again under the ID that it had.

    Its counts start anew.  Taken for late announcements of the one before,
    they would all be dropped, and the upstream would never get work again.
    """
    book = AnnouncementTracker()
    book.accept(says("a", 40, born=1000))
    assert book.accept(says("a", 1, born=2000))
    assert not book.accept(says("a", 41, born=1000))
    assert book.current.sequence == 1


def test_the_leaving_of_the_one_before_does_not_bind_the_next():
    book = AnnouncementTracker()
    book.accept(says("a", 5, leaving=True, born=1000))
    book.retire("a", 1000)
    assert book.accept(says("a", 1, born=2000))
    assert not book.current.leaving
    assert not book.is_retired("a")


def test_a_late_goodbye_of_the_one_before_counts_for_nothing():
    """The goodbye of an incarnation arrives after its successor has spoken.

    Taken for the successor's, it would end work at an upstream that is there.
    """
    book = AnnouncementTracker()
    book.accept(says("a", 5, born=1000))
    book.accept(says("a", 1, born=2000))
    assert not book.retire("a", 1000)
    assert book.current.born == 2000


def test_births_of_two_ids_are_not_compared():
    """A new upstream has another ID, and a clock that is behind.

    It was born earlier by its own clock than the one that it replaces.
    """
    book = AnnouncementTracker()
    book.accept(says("old", 9, born=9000))
    assert book.accept(says("new", 1, born=1000))
    assert book.current.upstream == "new"


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
def test_no_incarnation_that_is_over_comes_back(events):
    """Two upstreams start again and again; what they say comes in any order."""
    book = AnnouncementTracker()
    over: set[tuple[str, int]] = set()
    for upstream, sequence, leaving, born, gone in events:
        before = book.current
        if gone:
            book.retire(upstream, born)
            over.add((upstream, born))
        elif book.accept(says(upstream, sequence, leaving, born)):
            assert (upstream, born) not in over
            if before is not None and (before.upstream, before.born) != (
                upstream,
                born,
            ):
                over.add((before.upstream, before.born))
        current = book.current
        assert current is None or (current.upstream, current.born) not in over


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 9), st.booleans()), max_size=30
    )
)
def test_the_sequence_of_an_incarnation_only_rises(heard):
    book = AnnouncementTracker()
    last: dict[str, int] = {}
    for upstream, sequence, leaving in heard:
        if book.accept(says(upstream, sequence, leaving)):
            assert sequence > last.get(upstream, 0)
            last[upstream] = sequence
            assert book.current.upstream == upstream
