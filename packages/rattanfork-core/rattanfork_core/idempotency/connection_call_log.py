"""A guard's memory of the calls of one connection."""

from collections import OrderedDict
from collections.abc import Iterable

from rattanfork_core.request.result import FenceVerdict


class ConnectionCallLog:
    """Tells which calls of a connection were handed to the upstream.

    Explanation
    ===========

    Calls without a key are identified by their connection and their number
    on it, which only rises: a copy of a call is told by its number and does
    not run a second time.  When the sender loses the connection it asks, over
    another one, to fence the old: from then on nothing that still arrives on
    it is handed over, so "not run" stays true for calls in a buffer.

    Parameters
    ==========

    memory : int
        Most calls remembered as handed over.

    Examples
    ========

    >>> ledger = ConnectionCallLog()
    >>> ledger.accept(1), ledger.accept(1)
    (True, False)
    >>> ledger.hand_over(1)
    True
    >>> ledger.fence([1, 2])
    [<FenceVerdict.HANDED_OVER: 1>, <FenceVerdict.NOT_RUN: 0>]
    >>> ledger.hand_over(2)
    False
    """

    def __init__(self, memory: int = 4096) -> None:
        self._memory = memory
        self._handed: OrderedDict[int, None] = OrderedDict()
        self._forgotten_up_to = 0
        self._fenced = False
        self._last = 0

    @property
    def fenced(self) -> bool:
        """Whether calls of this connection are refused."""
        return self._fenced

    def accept(self, number: int) -> bool:
        """Take in a call; False for a copy of one that was taken before."""
        if number <= self._last:
            return False
        self._last = number
        return True

    def hand_over(self, number: int) -> bool:
        """Mark a call as handed to the upstream; False forbids it."""
        if self._fenced:
            return False
        self._handed[number] = None
        if len(self._handed) > self._memory:
            oldest, _ = self._handed.popitem(last=False)
            self._forgotten_up_to = max(self._forgotten_up_to, oldest)
        return True

    def fence(self, numbers: Iterable[int]) -> list[FenceVerdict]:
        """Refuse the connection's calls from now on; judge the given ones."""
        self._fenced = True
        return [self._judge(number) for number in numbers]

    def _judge(self, number: int) -> FenceVerdict:
        if number in self._handed:
            return FenceVerdict.HANDED_OVER
        if number <= self._forgotten_up_to:
            return FenceVerdict.UNKNOWN
        return FenceVerdict.NOT_RUN
