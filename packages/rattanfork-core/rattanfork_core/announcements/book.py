"""Which announcements count."""

from collections import OrderedDict

from rattanfork_core.announcements.announcement import Announcement

#: Incarnations that are remembered, so that late announcements are told.
_MOST_REMEMBERED = 64


class AnnouncementBook:
    """Keeps the newest announcement of the upstream beside this node.

    Explanation
    ===========

    Announcements may be late: one sent before the upstream began to leave
    would bring it back, and one of an incarnation that has crashed would
    replace its successor at the same address.  Within an incarnation the
    sequence decides; an incarnation that has been succeeded, or has left,
    does not come back.

    Examples
    ========

    >>> book = AnnouncementBook()
    >>> def says(name, sequence, leaving=False):
    ...     return Announcement(name, "s", "h", 1, 8, sequence, leaving)
    >>> book.hear(says("a", 1)), book.hear(says("a", 3, leaving=True))
    (True, True)
    >>> book.hear(says("a", 2))
    False
    >>> book.hear(says("b", 1)), book.hear(says("a", 4))
    (True, False)
    >>> book.current.upstream
    'b'
    """

    def __init__(self) -> None:
        self._current: Announcement | None = None
        self._over: OrderedDict[str, None] = OrderedDict()

    @property
    def current(self) -> Announcement | None:
        """The newest announcement that counts; None if there is none."""
        return self._current

    def hear(self, announcement: Announcement) -> bool:
        """Take in an announcement; return whether it counts."""
        name = announcement.upstream
        if name in self._over:
            return False
        current = self._current
        if current is not None and current.upstream == name:
            if announcement.sequence <= current.sequence:
                return False
        elif current is not None:
            self._close(current.upstream)
        self._current = announcement
        return True

    def leave(self, upstream: str) -> bool:
        """Take note that an incarnation has left; whether it was current."""
        was_current = self._current is not None and self._current.upstream == upstream
        self._close(upstream)
        if was_current:
            self._current = None
        return was_current

    def has_left(self, upstream: str) -> bool:
        """Return whether an incarnation has left or been succeeded."""
        return upstream in self._over

    def _close(self, upstream: str) -> None:
        self._over[upstream] = None
        self._over.move_to_end(upstream)
        if len(self._over) > _MOST_REMEMBERED:
            self._over.popitem(last=False)
