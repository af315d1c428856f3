"""Rejects late announcements and those of incarnations that have ended."""

from collections import OrderedDict

from rattanfork_core.announcements.announcement import Announcement

#: Bound on the retired upstreams that are kept, to detect their late announcements.
_MAX_RETIRED = 64


class AnnouncementTracker:
    """Keeps the newest announcement of the upstream beside this node.

    Explanation
    ===========

    Announcements may arrive late.  One sent before the upstream began to drain would
    revert it to accepting requests, and one of a crashed incarnation would replace its
    successor at the same address.  Within an incarnation, announcements are ordered by
    sequence.  An incarnation that has been succeeded, or has left, is retired: its
    announcements are ignored from then on.

    An upstream may restart with the same ID.  Its sequence restarts as well, so of two
    incarnations with one ID the one with the later start is the newer.  Starts of
    different IDs are never compared: they may be times of unsynchronised clocks.

    Examples
    ========

    >>> tracker = AnnouncementTracker()
    >>> def announce(name, sequence, leaving=False, born=0):
    ...     return Announcement(name, "s", "h", 1, 8, sequence, leaving, 0.0, born)
    >>> tracker.accept(announce("a", 1)), tracker.accept(announce("a", 3, leaving=True))
    (True, True)
    >>> tracker.accept(announce("a", 2))
    False
    >>> tracker.accept(announce("a", 1, born=7)), tracker.current.leaving
    (True, False)
    >>> tracker.accept(announce("b", 1)), tracker.accept(announce("a", 4, born=7))
    (True, False)
    >>> tracker.current.upstream
    'b'
    """

    def __init__(self) -> None:
        self._current: Announcement | None = None
        #: Latest start of each retired upstream, by its ID.
        self._retired: OrderedDict[str, int] = OrderedDict()

    @property
    def current(self) -> Announcement | None:
        """The newest announcement; None if no upstream is announced."""
        return self._current

    def accept(self, announcement: Announcement) -> bool:
        """Store an announcement if it is the newest; return whether it is."""
        name, born = announcement.upstream, announcement.born
        if self._is_incarnation_retired(name, born):
            return False
        current = self._current
        if current is not None:
            if current.upstream != name:
                self._record_retired(current.upstream, current.born)
            elif (born, announcement.sequence) <= (current.born, current.sequence):
                return False
        self._current = announcement
        return True

    def retire(self, upstream: str, born: int | None = None) -> bool:
        """Record that an incarnation has left; return whether it was the current one.

        Parameters
        ==========

        upstream : str
            ID of the upstream.
        born : int or None
            Start of the incarnation; None for the known one, if the upstream does not
            state it.
        """
        current = self._current
        if current is not None and current.upstream == upstream:
            if born is not None and born < current.born:
                # Late message of an incarnation that has already been succeeded.
                return False
            self._record_retired(upstream, max(current.born, born or 0))
            self._current = None
            return True
        self._record_retired(upstream, born or 0)
        return False

    def is_retired(self, upstream: str) -> bool:
        """Return whether the newest known incarnation of an ID has been retired."""
        current = self._current
        if current is not None and current.upstream == upstream:
            return False
        return upstream in self._retired

    def _is_incarnation_retired(self, upstream: str, born: int) -> bool:
        latest = self._retired.get(upstream)
        return latest is not None and born <= latest

    def _record_retired(self, upstream: str, born: int) -> None:
        self._retired[upstream] = max(born, self._retired.get(upstream, 0))
        self._retired.move_to_end(upstream)
        if len(self._retired) > _MAX_RETIRED:
            self._retired.popitem(last=False)
