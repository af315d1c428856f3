"""Memory that several budgets of one node share."""

from __future__ import annotations

from collections.abc import Callable


class MemoryRoom:
    """Counts what several budgets hold together.

    Parameters
    ==========

    capacity : int
        Size of the room, in bytes.
    parent : MemoryRoom, optional
        The room that this one is a part of.

    Examples
    ========

    >>> room = MemoryRoom(100)
    >>> part = MemoryRoom(80, room)
    >>> room.change(50)
    >>> part.free
    50
    >>> part.change(30)
    >>> room.held, room.free, part.free
    (80, 20, 20)
    """

    def __init__(self, capacity: int, parent: MemoryRoom | None = None) -> None:
        self._capacity = capacity
        self._parent = parent
        self._held = 0
        self._on_freed: list[Callable[[], None]] = []

    @property
    def capacity(self) -> int:
        """Size of the room, in bytes."""
        return self._capacity

    @property
    def held(self) -> int:
        """Bytes that are held."""
        return self._held

    @property
    def free(self) -> int:
        """Bytes that may be held besides; negative if too many are."""
        free = self._capacity - self._held
        return free if self._parent is None else min(free, self._parent.free)

    def change(self, count: int) -> None:
        """Hold more bytes, or fewer if the count is negative."""
        self._held += count
        if self._parent is not None:
            self._parent.change(count)
        if count < 0:
            for on_freed in self._on_freed:
                on_freed()

    def notify(self, on_freed: Callable[[], None]) -> None:
        """Call a function whenever bytes are freed in this room."""
        self._on_freed.append(on_freed)
