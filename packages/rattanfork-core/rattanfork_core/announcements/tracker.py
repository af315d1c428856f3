"""Rejects late announcements and those of incarnations that have ended."""

from rattanfork_core.announcements.announcement import Announcement
from rattanfork_core.announcements.retired_incarnations import (
    MAX_LATENESS_S,
    RetiredIncarnations,
)
from rattanfork_core.clock import Clock


class AnnouncementTracker:
    """Keeps the newest announcement of the upstream beside this node.

    Explanation
    ===========

    Announcements may arrive late.  One sent before the upstream began to drain would
    revert it to accepting requests, and one of a crashed incarnation would replace its
    successor at the same address.  Within an incarnation, announcements are ordered by
    sequence.  An announcement that comes longer after the current one than any can be
    late was sent after it, whatever both state.  An incarnation that has been
    succeeded, or has stated that it leaves, is retired: its announcements are ignored
    from then on, whatever they state.

    An upstream may restart with the same ID.  Its sequence restarts as well, so of two
    incarnations with one ID the one with the later start is the newer.  Starts of
    different IDs are never compared: they may be times of unsynchronised clocks.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> tracker = AnnouncementTracker(ManualClock())
    >>> def announce(name, sequence, leaving=False, born=5):
    ...     return Announcement(name, "s", "h", 1, 8, sequence, leaving, 0.0, born)
    >>> tracker.accept(announce("a", 1)), tracker.accept(announce("a", 3, leaving=True))
    (True, True)
    >>> tracker.accept(announce("a", 2)), tracker.accept(announce("a", 4))
    (False, False)
    >>> tracker.accept(announce("a", 1, born=7)), tracker.current.leaving
    (True, False)
    >>> tracker.accept(announce("b", 1)), tracker.accept(announce("a", 4, born=7))
    (True, False)
    >>> tracker.current.upstream
    'b'
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current: Announcement | None = None
        self._accepted_at = clock.now()
        self._retired = RetiredIncarnations(clock)
        #: The last upstream that was succeeded without having stated that it leaves.
        self._succeeded: Announcement | None = None

    @property
    def current(self) -> Announcement | None:
        """The newest announcement; None if no upstream is announced."""
        return self._current

    def accept(self, announcement: Announcement) -> bool:
        """Store an announcement if it is the newest; return whether it is.

        One that states leaving retires its incarnation in any case.
        """
        name, born = announcement.upstream, announcement.born
        if announcement.leaving:
            self._forget_succeeded(name)
        if self._retired.rejects(name, born):
            return False
        if announcement.leaving:
            self._retired.add(name, born)
        current = self._current
        if current is not None:
            if current.upstream == name:
                if not self._is_newer(announcement, current):
                    return False
            elif announcement.leaving:
                # It may be a late one of a predecessor.
                return False
            else:
                self._succeed(current)
        self._current = announcement
        self._accepted_at = self._clock.now()
        return True

    def reinstate(self, upstream: str) -> bool:
        """Make the upstream that was succeeded last the current one again.

        A late announcement of its predecessor looks like one of a successor to a
        process that started after the predecessor ended.  Call this when a probe has
        identified the upstream at the address of both.

        Returns
        =======

        bool
            False if another upstream was succeeded last, or it has left.
        """
        succeeded = self._succeeded
        if succeeded is None or succeeded.upstream != upstream:
            return False
        self._retired.remove(upstream)
        if self._current is not None:
            self._succeed(self._current)
        self._current = succeeded
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
        self._forget_succeeded(upstream)
        current = self._current
        if current is None or current.upstream != upstream:
            self._retired.add(upstream, born or 0)
            return False
        if born is not None and born < current.born:
            # Late message of an incarnation that has already been succeeded.
            self._retired.add(upstream, born)
            return False
        self._retired.add(upstream, max(current.born, born or 0))
        self._current = None
        return True

    def restore(self, upstream: str, born: int) -> None:
        """Record a retirement that an earlier process or another node has recorded.

        Parameters
        ==========

        upstream : str
            ID of the upstream.
        born : int
            Start of the incarnation; 0 if unknown.
        """
        self._forget_succeeded(upstream)
        if self._retired.includes(upstream) and born <= self.retired_start(upstream):
            return
        self._retired.add(upstream, born, serves=False)
        current = self._current
        if current is None or current.upstream != upstream:
            return
        if self._retired.rejects(upstream, current.born):
            self._current = None

    def is_retired(self, upstream: str) -> bool:
        """Return whether the newest known incarnation of an ID has been retired."""
        if not self._retired.includes(upstream):
            return False
        current = self._current
        if current is None or current.upstream != upstream:
            return True
        return current.born <= self._retired.start_of(upstream)

    def retired_start(self, upstream: str) -> int:
        """Return the latest retired start of an ID; 0 if unknown."""
        return self._retired.start_of(upstream)

    def _is_newer(self, announcement: Announcement, current: Announcement) -> bool:
        stated = (announcement.born, announcement.sequence)
        if stated > (current.born, current.sequence):
            return True
        return self._clock.now() - self._accepted_at > MAX_LATENESS_S

    def _succeed(self, current: Announcement) -> None:
        left = self.is_retired(current.upstream)
        self._succeeded = None if left else current
        self._retired.add(current.upstream, current.born)

    def _forget_succeeded(self, upstream: str) -> None:
        if self._succeeded is not None and self._succeeded.upstream == upstream:
            self._succeeded = None
