"""Calls without an idempotency key that one peer connection delivered."""

from collections import OrderedDict
from collections.abc import Iterable

from rattanfork_core.request.result import FenceVerdict


class ConnectionCallLog:
    """Records which calls of a connection were handed over to the upstream.

    Explanation
    ===========

    Calls without a key are identified by their connection and their sequence
    number on it, which only increases, so duplicates are detected and do not run
    a second time.  When the sender loses the connection, it requests over another one
    that the lost one be fenced: from then on no call that still arrives on the lost
    connection is handed over.  So a call reported as "not run" cannot run later,
    although it may still be in a receive buffer.

    Parameters
    ==========

    max_calls : int
        Maximum number of handed-over calls that are recorded.

    Examples
    ========

    >>> calls = ConnectionCallLog()
    >>> calls.accept(1), calls.accept(1)
    (True, False)
    >>> calls.hand_over(1)
    True
    >>> calls.fence([1, 2])
    [<FenceVerdict.HANDED_OVER: 1>, <FenceVerdict.NOT_RUN: 0>]
    >>> calls.hand_over(2)
    False
    """

    def __init__(self, max_calls: int = 4096) -> None:
        self._max_calls = max_calls
        self._handed_over: OrderedDict[int, None] = OrderedDict()
        self._evicted_up_to = 0
        self._fenced = False
        self._last = 0

    @property
    def fenced(self) -> bool:
        """Whether calls of this connection are refused."""
        return self._fenced

    def accept(self, number: int) -> bool:
        """Accept a call; return False for a duplicate."""
        if number <= self._last:
            return False
        self._last = number
        return True

    def hand_over(self, number: int) -> bool:
        """Record a call as handed over; return False if it must not run."""
        if self._fenced:
            return False
        self._handed_over[number] = None
        if len(self._handed_over) > self._max_calls:
            oldest, _ = self._handed_over.popitem(last=False)
            self._evicted_up_to = max(self._evicted_up_to, oldest)
        return True

    def fence(self, numbers: Iterable[int]) -> list[FenceVerdict]:
        """Refuse all further calls; return whether the given ones were handed over."""
        self._fenced = True
        return [self._fence_verdict(number) for number in numbers]

    def _fence_verdict(self, number: int) -> FenceVerdict:
        if number in self._handed_over:
            return FenceVerdict.HANDED_OVER
        if number <= self._evicted_up_to:
            return FenceVerdict.UNKNOWN
        return FenceVerdict.NOT_RUN
