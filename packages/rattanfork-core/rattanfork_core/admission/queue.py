"""Priority queue of requests that wait for a slot at the upstream."""

from sortedcontainers import SortedKeyList

from rattanfork_core.admission.waiter import Waiter


def _sort_key(waiter: Waiter) -> tuple[float, int]:
    return (waiter.rank, waiter.key)


class WaitQueue:
    """Waiters ordered by rank.

    Explanation
    ===========

    The order does not depend on arrival: a rank is made of the importance and, within
    it, a hash of the request ID.  All nodes therefore favour the same requests, and
    the calls that belong to one request succeed or fail together at all services.

    Examples
    ========

    >>> queue = WaitQueue()
    >>> queue.push(Waiter(1, 2.5, "get", 1.0, 0.0))
    >>> queue.push(Waiter(2, 0.5, "file", 1.0, 0.0))
    >>> queue.count_ahead(2.0)
    1
    >>> queue.pop_lowest_rank().key, queue.pop_highest_rank().key
    (2, 1)
    """

    def __init__(self) -> None:
        self._waiters: SortedKeyList = SortedKeyList(key=_sort_key)

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a waiter."""
        self._waiters.add(waiter)

    def count_ahead(self, rank: float) -> int:
        """Return the number of waiters that precede a rank."""
        return self._waiters.bisect_key_left((rank, 0))

    def pop_lowest_rank(self) -> Waiter:
        """Remove and return the waiter that starts next."""
        return self._waiters.pop(0)

    def pop_highest_rank(self) -> Waiter:
        """Remove and return the waiter that is shed first."""
        return self._waiters.pop()

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter; return whether it was there."""
        try:
            self._waiters.remove(waiter)
        except ValueError:
            return False
        return True

    def pop_unfinishable(
        self, latest_start: dict[int, float], now: float
    ) -> list[Waiter]:
        """Remove and return the waiters whose latest start is before ``now``."""
        unfinishable = [w for w in self._waiters if latest_start[w.key] < now]
        for waiter in unfinishable:
            self._waiters.remove(waiter)
        return unfinishable

    def pop_arrived_before(self, arrived: float) -> list[Waiter]:
        """Remove and return the waiters that arrived before a time."""
        older = [w for w in self._waiters if w.arrived < arrived]
        for waiter in older:
            self._waiters.remove(waiter)
        return older

    def __iter__(self):
        return iter(self._waiters)
