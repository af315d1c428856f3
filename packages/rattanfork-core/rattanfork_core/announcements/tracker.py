"""Which announcements count."""

from collections import OrderedDict

from rattanfork_core.announcements.announcement import Announcement

#: Upstreams that are remembered, so that late announcements are told.
_MOST_REMEMBERED = 64


class AnnouncementTracker:
    """Keeps the newest announcement of the upstream beside this node.

    Explanation
    ===========

    Announcements may be late: one sent before the upstream began to leave
    would bring it back, and one of an incarnation that has crashed would
    replace its successor at the same address.  Within an incarnation the
    sequence decides; an incarnation that has been succeeded, or has left,
    does not come back.

    An upstream may start again under the ID that it had.  Its counts start
    anew, so of two incarnations of one ID the one that was born later is the
    newer.  Births of different IDs are never compared: they may come from
    clocks that disagree, and the later start could look the earlier one.

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
        #: The latest birth of each upstream that is over, by its ID.
        self._over: OrderedDict[str, int] = OrderedDict()

    @property
    def current(self) -> Announcement | None:
        """The newest announcement that counts; None if there is none."""
        return self._current

    def accept(self, announcement: Announcement) -> bool:
        """Take in an announcement; return whether it counts."""
        name, born = announcement.upstream, announcement.born
        if self._is_over(name, born):
            return False
        current = self._current
        if current is not None:
            if current.upstream != name:
                self._close(current.upstream, current.born)
            elif (born, announcement.sequence) <= (current.born, current.sequence):
                return False
        self._current = announcement
        return True

    def retire(self, upstream: str, born: int | None = None) -> bool:
        """Take note that an incarnation has left; return whether it was current.

        Parameters
        ==========

        upstream : str
            Its ID.
        born : int or None
            When it started; None for the incarnation that is known, if the
            upstream does not say.
        """
        current = self._current
        if current is not None and current.upstream == upstream:
            if born is not None and born < current.born:
                # The goodbye of the one before its successor was late.
                return False
            self._close(upstream, max(current.born, born or 0))
            self._current = None
            return True
        self._close(upstream, born or 0)
        return False

    def is_retired(self, upstream: str) -> bool:
        """Return whether the newest known incarnation of an ID is over."""
        current = self._current
        if current is not None and current.upstream == upstream:
            return False
        return upstream in self._over

    def _is_over(self, upstream: str, born: int) -> bool:
        last = self._over.get(upstream)
        return last is not None and born <= last

    def _close(self, upstream: str, born: int) -> None:
        self._over[upstream] = max(born, self._over.get(upstream, 0))
        self._over.move_to_end(upstream)
        if len(self._over) > _MOST_REMEMBERED:
            self._over.popitem(last=False)
