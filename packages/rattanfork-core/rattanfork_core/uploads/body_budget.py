"""Budget of memory for large request bodies at one node."""

from collections import deque
from collections.abc import Callable

from rattanfork_core.memory import MemoryRoom

#: Part of the budget for the bodies that are read: 1 / ``_SHARE_DIVISOR``.  The rest
#: holds the bytes that arrive together with the heads of uploads that still wait; they
#: have left the socket before reading can be paused.
_SHARE_DIVISOR = 4
#: Part of the budget that a body of unknown length may take before it needs room among
#: the largest bodies, 1 / ``_MAX_GROWN_DIVISOR``, and the most that it may, in bytes.
_MAX_GROWN_DIVISOR = 2
_MAX_GROWN_BYTES = 2 << 20
#: Size in bytes from which a body takes room among the largest ones.
_MIN_LARGE_BYTES = 1 << 20


class Reservation:
    """Bytes of a budget that belong to one body.

    Parameters
    ==========

    budget : BodyBudget
        The budget that they are taken from.
    """

    __slots__ = (
        "_budget",
        "_on_granted",
        "early",
        "granted",
        "is_large",
        "released",
        "share",
        "size",
    )

    def __init__(self, budget: "BodyBudget") -> None:
        self._budget = budget
        self._on_granted: Callable[[], None] | None = None
        #: Bytes received before the grant.
        self.early = 0
        #: Reserved bytes, or those requested while not granted.
        self.size = 0
        #: Bytes that count against the share of the bodies that are read; 0 for one of
        #: the largest.
        self.share = 0
        #: Whether the body takes room among the largest ones.
        self.is_large = False
        self.granted = False
        self.released = False

    def charge_early(self, count: int) -> bool:
        """Charge bytes received before the grant; return whether they fit."""
        return not self.released and self._budget._charge_early(self, count)

    def request(
        self, size: int, on_granted: Callable[[], None], is_large: bool = False
    ) -> None:
        """Request room for a body; granted at once or later, in order of requests.

        Parameters
        ==========

        size : int
            Expected size of the body, in bytes.
        on_granted : callable
            Called once there is room, unless the reservation is released before.
        is_large : bool
            Whether the body takes room among the largest ones whatever its size.
        """
        self.size = size
        self.is_large = is_large or size > self._budget.min_large_bytes
        self._on_granted = on_granted
        self._budget._enqueue(self)

    def grow(self, size: int) -> bool:
        """Increase a granted reservation to a size; return whether there is room."""
        return self._budget._grow(self, size)

    def shrink(self, size: int) -> None:
        """Reduce a granted reservation to the actual size of the body."""
        if self.granted and not self.released and size < self.size:
            self._budget._shrink(self, size)

    def release(self) -> None:
        """Return all bytes to the budget; later calls have no effect."""
        if not self.released:
            self.released = True
            self._budget._release(self)

    def grant(self) -> None:
        """Record the grant and report it to the holder."""
        self.granted = True
        on_granted, self._on_granted = self._on_granted, None
        on_granted()


class BodyBudget:
    """Bounds the memory that large request bodies take at one node.

    Explanation
    ===========

    A body of known length is read only once its whole length is reserved, so every
    body whose reading has begun can be completed: with partial reservations, many
    uploads could each hold a part while none of them gets the rest.  Requests for
    room are granted in their order, as a large body would otherwise wait for as long
    as smaller ones arrive.  The bodies that are read share a quarter of the budget.
    The largest ones are read beside them in a room of their own, so that a slow one
    doesn't stop the others.

    Parameters
    ==========

    capacity : int
        Size of the budget, in bytes, without the room for the largest bodies.
    large_room : int, optional
        Room for the largest bodies, in bytes; half of the capacity by default.
    room : MemoryRoom, optional
        Room that all bodies share with others; without one only the sizes above
        bound them.

    Examples
    ========

    >>> budget = BodyBudget(400)
    >>> first, second = budget.open(), budget.open()
    >>> first.request(80, lambda: print("first may be read"))
    first may be read
    >>> second.request(30, lambda: print("second may be read"))
    >>> budget.held, budget.waiting
    (80, 1)
    >>> first.release()
    second may be read
    """

    def __init__(
        self,
        capacity: int,
        large_room: int | None = None,
        room: MemoryRoom | None = None,
    ) -> None:
        self._capacity = capacity
        half = capacity // _MAX_GROWN_DIVISOR
        self._max_grown = min(half, _MAX_GROWN_BYTES)
        self._large_room = half if large_room is None else large_room
        if room is None:
            room = MemoryRoom(capacity + self._large_room)
        self._room = room
        #: Bytes that are counted in the room.
        self._counted = 0
        self._large_reserved = 0
        self._large_peak = 0
        self._reserved = 0
        self._early = 0
        self._peak = 0
        #: Part of ``_reserved`` that counts against the share.
        self._shared = 0
        self._queue: deque[Reservation] = deque()
        self._large_queue: deque[Reservation] = deque()
        self._is_granting = False
        room.notify(self._grant_next)

    @property
    def capacity(self) -> int:
        """Size of the budget, in bytes."""
        return self._capacity

    @property
    def max_body_bytes(self) -> int:
        """Size of the largest body that is ever granted, in bytes."""
        return max(self._large_room, self.min_large_bytes)

    @property
    def max_grown_bytes(self) -> int:
        """Size to which a reservation may grow outside of the large room, in bytes."""
        return self._max_grown

    @property
    def min_large_bytes(self) -> int:
        """Size above which a body takes room among the largest ones, in bytes."""
        return min(self.share, _MIN_LARGE_BYTES)

    @property
    def share(self) -> int:
        """Bytes for the bodies that are read at the same time."""
        return self._capacity // _SHARE_DIVISOR

    @property
    def held(self) -> int:
        """Bytes that are reserved or were received early, without the large room."""
        return self._reserved + self._early

    @property
    def large_room(self) -> int:
        """Room for the largest bodies, in bytes."""
        return self._large_room

    @property
    def large_held(self) -> int:
        """Bytes of the large room that are reserved."""
        return self._large_reserved

    @property
    def large_peak(self) -> int:
        """Largest value of :attr:`large_held` so far."""
        return self._large_peak

    @property
    def peak(self) -> int:
        """Largest value of :attr:`held` so far."""
        return self._peak

    @property
    def waiting(self) -> int:
        """Number of uploads that wait for room."""
        waiting = (*self._queue, *self._large_queue)
        return sum(not reservation.released for reservation in waiting)

    def open(self) -> Reservation:
        """Return an empty reservation."""
        return Reservation(self)

    def _charge_early(self, reservation: Reservation, count: int) -> bool:
        # With a bound of their own, early bytes never take the room of the bodies that
        # are next: their uploads would wait for these, and these for them.
        early_limit = self._capacity - self.share
        if self._early + count > early_limit or self.held + count > self._capacity:
            return False
        if count > self._room.free:
            return False
        reservation.early += count
        self._early += count
        self._record_peak()
        return True

    def _enqueue(self, reservation: Reservation) -> None:
        queue = self._large_queue if reservation.is_large else self._queue
        queue.append(reservation)
        self._grant_next()

    def _grow(self, reservation: Reservation, size: int) -> bool:
        growth = size - reservation.size
        if self.held + growth > self._capacity or growth > self._room.free:
            return False
        self._reserved += growth
        reservation.size = size
        self._record_peak()
        return True

    def _shrink(self, reservation: Reservation, size: int) -> None:
        if reservation.is_large:
            self._large_reserved -= reservation.size - size
        else:
            self._reserved -= reservation.size - size
        reservation.size = size
        if reservation.share > size:
            self._shared -= reservation.share - size
            reservation.share = size
        self._count_in_room()
        self._grant_next()

    def _release(self, reservation: Reservation) -> None:
        if reservation.granted and reservation.is_large:
            self._large_reserved -= reservation.size
        elif reservation.granted:
            self._reserved -= reservation.size
            self._shared -= reservation.share
        self._early -= reservation.early
        reservation.early = 0
        self._count_in_room()
        self._grant_next()

    def _grant_next(self) -> None:
        """Grant waiting requests in order, as far as there is room."""
        if self._is_granting:
            # A holder released or requested room in reaction to its grant; the loop
            # that called it continues with the new state.
            return
        self._is_granting = True
        try:
            while (reservation := self._take_next()) is not None:
                if reservation.is_large:
                    self._large_reserved += reservation.size
                else:
                    reservation.share = reservation.size
                    self._shared += reservation.size
                    self._reserved += reservation.size
                self._early -= reservation.early
                reservation.early = 0
                self._record_peak()
                reservation.grant()
        finally:
            self._is_granting = False

    def _take_next(self) -> Reservation | None:
        """Remove the waiting reservation to grant next; None if none fits."""
        for queue in (self._queue, self._large_queue):
            while queue and queue[0].released:
                queue.popleft()
            if queue and self._has_room(queue[0]):
                return queue.popleft()
        return None

    def _has_room(self, reservation: Reservation) -> bool:
        size = reservation.size
        if size - reservation.early > self._room.free:
            return False
        if reservation.is_large:
            return self._large_reserved + size <= self._large_room
        if self.held + size - reservation.early > self._capacity:
            return False
        return self._shared + size <= self.share

    def _record_peak(self) -> None:
        self._count_in_room()
        self._peak = max(self._peak, self.held)
        self._large_peak = max(self._large_peak, self._large_reserved)

    def _count_in_room(self) -> None:
        total = self.held + self._large_reserved
        change, self._counted = total - self._counted, total
        if change:
            self._room.change(change)
