"""Requests of each client account within a sliding time window."""

from collections import deque
from heapq import nlargest, nsmallest

from rattanfork_core.clock import Clock
from rattanfork_core.hashing import hash64

#: Length of the window, in seconds, and number of slots that it is divided into.
WINDOW_SECONDS = 2.0
_SLOTS = 8
_SLOT_SECONDS = WINDOW_SECONDS / _SLOTS
#: Accounts counted at a time; beyond that the least demanding ones are dropped.
MAX_ACCOUNTS = 4096
#: Part of the accounts dropped at once, so that dropping costs little per request.
_DROPPED_PART = 8


class DemandWindow:
    """Counts the requests of accounts over the last two seconds.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    max_accounts : int
        Most accounts counted at a time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> window = DemandWindow(clock)
    >>> window.add(7), window.add(9, count=3)
    (1, 3)
    >>> window.top(1), window.total
    ([(9, 3)], 4)
    >>> clock.advance(2.1)
    >>> window.demand(9), window.total
    (0, 0)
    """

    def __init__(self, clock: Clock, max_accounts: int = MAX_ACCOUNTS) -> None:
        self._clock = clock
        self._max_accounts = max_accounts
        self._demands: dict[int, int] = {}
        #: Slot numbers and the counts added in them, oldest first.
        self._slots: deque[tuple[int, dict[int, int]]] = deque()
        self._total = 0

    def __len__(self) -> int:
        self._expire(self._slot_number())
        return len(self._demands)

    @property
    def total(self) -> int:
        """Requests of all accounts in the window."""
        self._expire(self._slot_number())
        return self._total

    def add(self, account: int, count: int = 1) -> int:
        """Count requests of an account and return its demand."""
        number = self._slot_number()
        if not self._slots or self._slots[-1][0] != number:
            self._expire(number)
            self._slots.append((number, {}))
        counts = self._slots[-1][1]
        counts[account] = counts.get(account, 0) + count
        self._total += count
        demand = self._demands[account] = self._demands.get(account, 0) + count
        if len(self._demands) > self._max_accounts:
            self._drop_least_demanding()
        return demand

    def demand(self, account: int) -> int:
        """Return the number of requests of an account in the window."""
        self._expire(self._slot_number())
        return self._demands.get(account, 0)

    def top(self, count: int) -> list[tuple[int, int]]:
        """Return the most demanding accounts with their demands, highest first."""
        self._expire(self._slot_number())
        demands = self._demands
        # Equal demands are ordered by account, so that nodes agree on the order.
        accounts = nlargest(count, demands, key=lambda a: (demands[a], a))
        return [(account, demands[account]) for account in accounts]

    def _slot_number(self) -> int:
        return int(self._clock.now() / _SLOT_SECONDS)

    def _expire(self, number: int) -> None:
        slots, demands = self._slots, self._demands
        while slots and slots[0][0] <= number - _SLOTS:
            for account, count in slots.popleft()[1].items():
                self._total -= count
                left = demands[account] - count
                if left:
                    demands[account] = left
                else:
                    del demands[account]

    def _drop_least_demanding(self) -> None:
        demands = self._demands
        dropped = nsmallest(
            max(1, self._max_accounts // _DROPPED_PART), demands, key=demands.get
        )
        for account in dropped:
            self._total -= demands.pop(account)
            for _, counts in self._slots:
                counts.pop(account, None)


def account_hash(name: str) -> int:
    """Return the 32-bit hash that identifies an account in reports.

    Among 4,096 accounts, two have the same hash in one of 500 configurations; they then
    share the capacity of one account.

    Examples
    ========

    >>> account_hash("clerks") == account_hash("clerks") != account_hash("auditors")
    True
    """
    return hash64(name) & 0xFFFFFFFF
