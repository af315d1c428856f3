"""Budgets of memory for the responses that a node receives or has not sent yet."""

from abc import ABC, abstractmethod

#: Largest budget, in bytes.
MAX_RESPONSE_BYTES = 64 << 20
#: Part of a node's memory limit that the budget may take: 1 / ``_MEMORY_DIVISOR``.  A
#: received body is copied up to three times on its way to the caller.
_MEMORY_DIVISOR = 8
#: Part of a node's memory limit for what callers have not read, 1 / the divisor, and
#: the budget without a limit, in bytes.
_UNSENT_DIVISOR = 4
_UNLIMITED_UNSENT_BYTES = 256 << 20


def response_budget_bytes(memory_bytes: int | None) -> int:
    """Return the budget of a node, in bytes.

    Parameters
    ==========

    memory_bytes : int or None
        Memory limit of the node, in bytes; None if it is unknown.

    Examples
    ========

    >>> response_budget_bytes(None) == 64 << 20
    True
    >>> response_budget_bytes(300_000_000)
    37500000
    """
    if memory_bytes is None:
        return MAX_RESPONSE_BYTES
    return min(MAX_RESPONSE_BYTES, memory_bytes // _MEMORY_DIVISOR)


def unsent_budget_bytes(memory_bytes: int | None) -> int:
    """Return the budget of a node for responses that wait for slow readers, in bytes.

    Parameters
    ==========

    memory_bytes : int or None
        Memory limit of the node, in bytes; None if it is unknown.

    Examples
    ========

    >>> unsent_budget_bytes(300_000_000)
    75000000
    """
    if memory_bytes is None:
        return _UNLIMITED_UNSENT_BYTES
    return memory_bytes // _UNSENT_DIVISOR


class ResponseHolder(ABC):
    """Holds a response, or the part of one that has been received so far."""

    @abstractmethod
    def evict(self) -> None:
        """Free the bytes, and neither receive nor send the rest of the response."""


class ResponseBudget:
    """Bounds the memory that responses take at one node.

    Explanation
    ===========

    A response may have no end, so its size is known only once it is complete.  If the
    budget is exhausted, the largest response is evicted: one without an end becomes the
    largest, while ordinary ones are completed beside it.

    Parameters
    ==========

    capacity : int
        Size of the budget, in bytes.
    max_response : int, optional
        Maximum size of one response, in bytes; the whole budget by default.

    Examples
    ========

    >>> class Response(ResponseHolder):
    ...     def evict(self):
    ...         print("evicted")
    >>> budget, endless, short = ResponseBudget(100), Response(), Response()
    >>> budget.hold(endless, 70)
    >>> budget.hold(short, 40)
    evicted
    >>> budget.held
    40
    """

    def __init__(
        self, capacity: int = MAX_RESPONSE_BYTES, max_response: int | None = None
    ) -> None:
        self._capacity = capacity
        self._max_response = capacity if max_response is None else max_response
        self._sizes: dict[ResponseHolder, int] = {}
        self._held = 0

    @property
    def capacity(self) -> int:
        """Size of the budget, in bytes."""
        return self._capacity

    @property
    def held(self) -> int:
        """Bytes that are held."""
        return self._held

    def hold(self, holder: ResponseHolder, size: int) -> None:
        """Set how many bytes a response holds; evict the largest ones if needed.

        This may evict ``holder`` itself.
        """
        self._held += size - self._sizes.get(holder, 0)
        self._sizes[holder] = size
        if size > self._max_response:
            self.release(holder)
            holder.evict()
        while self._held > self._capacity:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.release(largest)
            largest.evict()

    def release(self, holder: ResponseHolder) -> None:
        """Release the bytes of a response, if it holds any."""
        self._held -= self._sizes.pop(holder, 0)
