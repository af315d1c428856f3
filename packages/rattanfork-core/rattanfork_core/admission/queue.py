"""Priority queue of requests that wait for a slot at the upstream."""

from bisect import bisect_left
from collections.abc import Iterator

from rattanfork_core.admission.waiter import Waiter


class WaitQueue:
    """Waiters ordered by rank.

    Explanation
    ===========

    The order does not depend on arrival: a rank is made of the importance and, within
    it, a hash of the request ID.  All nodes therefore favour the same requests, and
    the calls that belong to one request succeed or fail together at all services.

    Plain lists are used, as queues hold hundreds of waiters at most: inserting into one
    costs less than the function calls of a library for sorted lists.

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
        #: Rank and key of each waiter, in ascending order, and the waiters.
        self._sort_keys: list[tuple[float, int]] = []
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a waiter."""
        sort_key = (waiter.rank, waiter.key)
        index = bisect_left(self._sort_keys, sort_key)
        self._sort_keys.insert(index, sort_key)
        self._waiters.insert(index, waiter)

    def count_ahead(self, rank: float) -> int:
        """Return the number of waiters that precede a rank."""
        return bisect_left(self._sort_keys, (rank, 0))

    def pop_lowest_rank(self) -> Waiter:
        """Remove and return the waiter that starts next."""
        del self._sort_keys[0]
        return self._waiters.pop(0)

    def pop_highest_rank(self) -> Waiter:
        """Remove and return the waiter that is shed first."""
        del self._sort_keys[-1]
        return self._waiters.pop()

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter; return whether it was there."""
        index = bisect_left(self._sort_keys, (waiter.rank, waiter.key))
        if index == len(self._waiters) or self._waiters[index] is not waiter:
            return False
        del self._sort_keys[index]
        del self._waiters[index]
        return True

    def pop_unfinishable(
        self, latest_start: dict[int, float], now: float
    ) -> list[Waiter]:
        """Remove and return the waiters whose latest start is before ``now``."""
        unfinishable = [w for w in self._waiters if latest_start[w.key] < now]
        for waiter in unfinishable:
            self.remove(waiter)
        return unfinishable

    def pop_arrived_before(self, arrived: float) -> list[Waiter]:
        """Remove and return the waiters that arrived before a time."""
        older = [w for w in self._waiters if w.arrived < arrived]
        for waiter in older:
            self.remove(waiter)
        return older

    def __iter__(self) -> Iterator[Waiter]:
        return iter(self._waiters)
