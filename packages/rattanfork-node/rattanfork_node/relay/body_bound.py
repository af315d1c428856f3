"""Route path: bound on the request bodies that a gate holds."""

from rattanfork_core.memory import MemoryRoom


class BodyBound:
    """Bounds the bytes of the bodies of requests that wait or run at a gate.

    Explanation
    ===========

    Bodies come from all nodes, so that the budget of each sender bounds nothing here.

    Parameters
    ==========

    capacity : int
        Maximum number of bytes.
    room : MemoryRoom, optional
        Room that they share with the bodies of this node's own clients.

    Examples
    ========

    >>> bound = BodyBound(100)
    >>> bound.take(80), bound.take(30), bound.held
    (True, False, 80)
    >>> bound.release(80)
    >>> bound.take(30)
    True
    """

    def __init__(self, capacity: int, room: MemoryRoom | None = None) -> None:
        self._capacity = capacity
        self._room = MemoryRoom(capacity) if room is None else room
        self._held = 0

    @property
    def held(self) -> int:
        """Bytes that are held."""
        return self._held

    def take(self, size: int) -> bool:
        """Hold a body of a size in bytes; return whether it fits."""
        if self._held + size > self._capacity or size > self._room.free:
            return False
        self._held += size
        self._room.change(size)
        return True

    def release(self, size: int) -> None:
        """Release a body of a size in bytes."""
        self._held -= size
        self._room.change(-size)
