"""Budget of memory for the bodies of uploads at one node."""

from collections import deque
from collections.abc import Callable

#: Largest budget, in bytes.
MAX_BUDGET_BYTES = 32 << 20
#: Part of a node's memory limit that the budget may take: 1 / ``_MEMORY_DIVISOR``.
_MEMORY_DIVISOR = 4
#: Part of the budget that is reserved for admitted bodies: 1 / ``_BODY_DIVISOR``.  The
#: rest holds the bytes that arrive together with the heads of uploads that still wait;
#: they have left the socket before reading can be paused.
_BODY_DIVISOR = 2


def body_budget_bytes(memory_bytes: int | None) -> int:
    """Return the budget of a node, in bytes.

    Parameters
    ==========

    memory_bytes : int or None
        Memory limit of the node, in bytes; None if it is unknown.

    Examples
    ========

    >>> body_budget_bytes(None) == body_budget_bytes(200_000_000) == 32 << 20
    True
    >>> body_budget_bytes(40_000_000)
    10000000
    """
    if memory_bytes is None:
        return MAX_BUDGET_BYTES
    return min(MAX_BUDGET_BYTES, memory_bytes // _MEMORY_DIVISOR)


class Reservation:
    """Bytes of a budget that belong to one upload.

    Parameters
    ==========

    budget : BodyBudget
        The budget that they are taken from.
    """

    __slots__ = ("_budget", "_on_granted", "early", "granted", "released", "size")

    def __init__(self, budget: "BodyBudget") -> None:
        self._budget = budget
        self._on_granted: Callable[[], None] | None = None
        #: Bytes received before the grant.
        self.early = 0
        #: Reserved bytes, or those requested while not granted.
        self.size = 0
        self.granted = False
        self.released = False

    def charge_early(self, count: int) -> bool:
        """Charge bytes received before the grant; return whether they fit."""
        return self._budget._charge_early(self, count)

    def request(self, size: int, on_granted: Callable[[], None]) -> None:
        """Request room for a body; granted at once or later, in order of requests.

        Parameters
        ==========

        size : int
            Expected size of the body, in bytes.
        on_granted : callable
            Called once there is room, unless the reservation is released before.
        """
        self.size = size
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
    """Bounds the memory that the bodies of uploads take at one node.

    Explanation
    ===========

    A body of known length is read only once its whole length is reserved, so every
    body whose reading has begun can be completed: with partial reservations, many
    uploads could each hold a part while none of them gets the rest.  Requests for
    room are granted in their order, as a large body would otherwise wait for as long
    as smaller ones arrive.

    Parameters
    ==========

    capacity : int
        Size of the budget, in bytes.

    Examples
    ========

    >>> budget = BodyBudget(200)
    >>> first, second = budget.open(), budget.open()
    >>> first.request(80, lambda: print("first may be read"))
    first may be read
    >>> second.request(50, lambda: print("second may be read"))
    >>> budget.held, budget.waiting
    (80, 1)
    >>> first.release()
    second may be read
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._reserved = 0
        self._early = 0
        self._peak = 0
        self._queue: deque[Reservation] = deque()
        self._is_granting = False

    @property
    def capacity(self) -> int:
        """Size of the budget, in bytes."""
        return self._capacity

    @property
    def max_body_bytes(self) -> int:
        """Size of the largest body that is ever granted, in bytes."""
        return self._capacity // _BODY_DIVISOR

    @property
    def held(self) -> int:
        """Bytes that are reserved or were received before their grant."""
        return self._reserved + self._early

    @property
    def peak(self) -> int:
        """Largest value of :attr:`held` so far."""
        return self._peak

    @property
    def waiting(self) -> int:
        """Number of uploads that wait for room."""
        return sum(not reservation.released for reservation in self._queue)

    def open(self) -> Reservation:
        """Return an empty reservation."""
        return Reservation(self)

    def _charge_early(self, reservation: Reservation, count: int) -> bool:
        # With a bound of their own, early bytes never take the room of a body: their
        # uploads would wait for it, and it for them.
        early_limit = self._capacity - self.max_body_bytes
        if self._early + count > early_limit or self.held + count > self._capacity:
            return False
        reservation.early += count
        self._early += count
        self._record_peak()
        return True

    def _enqueue(self, reservation: Reservation) -> None:
        self._queue.append(reservation)
        self._grant_next()

    def _grow(self, reservation: Reservation, size: int) -> bool:
        if self.held + size - reservation.size > self._capacity:
            return False
        self._reserved += size - reservation.size
        reservation.size = size
        self._record_peak()
        return True

    def _shrink(self, reservation: Reservation, size: int) -> None:
        self._reserved -= reservation.size - size
        reservation.size = size
        self._grant_next()

    def _release(self, reservation: Reservation) -> None:
        if reservation.granted:
            self._reserved -= reservation.size
        self._early -= reservation.early
        reservation.early = 0
        self._grant_next()

    def _grant_next(self) -> None:
        """Grant waiting requests in order, as far as there is room."""
        if self._is_granting:
            # A holder released or requested room in reaction to its grant; the loop
            # that called it continues with the new state.
            return
        self._is_granting = True
        try:
            while self._queue:
                reservation = self._queue[0]
                if not reservation.released:
                    if not self._has_room(reservation):
                        return
                    self._reserved += reservation.size
                    self._early -= reservation.early
                    reservation.early = 0
                    self._record_peak()
                self._queue.popleft()
                if not reservation.released:
                    reservation.grant()
        finally:
            self._is_granting = False

    def _has_room(self, reservation: Reservation) -> bool:
        size = reservation.size
        return (
            self._reserved + size <= self.max_body_bytes
            and self.held + size - reservation.early <= self._capacity
        )

    def _record_peak(self) -> None:
        self._peak = max(self._peak, self.held)
