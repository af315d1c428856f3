"""What the requests of one client connection take of the server's budget."""

from __future__ import annotations

from rattanfork_core.clock import Clock
from rattanfork_core.connections import REQUEST_BYTES, RequestBudget

from rattanfork_node.http1.exchange import Exchange

#: Bytes of its requests at which a connection is no longer read while room is short.
_MAX_PENDING_BYTES = 64 << 10


class RequestUsage:
    """Counts the small requests of one connection.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    budget : RequestBudget
        Budget of all connections.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> budget, clock = RequestBudget(1000), ManualClock(1.0)
    >>> usage = RequestUsage(clock, budget)
    >>> usage.set_incomplete(30)
    >>> clock.advance(2.0)
    >>> usage.incomplete_cost, budget.held
    (60.0, 30)
    >>> usage.clear()
    >>> budget.held
    0
    """

    __slots__ = ("_budget", "_clock", "_incomplete_since", "_pending", "incomplete")

    def __init__(self, clock: Clock, budget: RequestBudget) -> None:
        self._clock = clock
        self._budget = budget
        #: Bytes of requests that were received whole.
        self._pending = 0
        #: Bytes so far of a request that was not.
        self.incomplete = 0
        self._incomplete_since = 0.0

    @property
    def is_too_large(self) -> bool:
        """Whether the connection is not to be read, as others need the room."""
        return self._pending > _MAX_PENDING_BYTES and self._budget.is_short

    @property
    def incomplete_cost(self) -> float:
        """Bytes of an incomplete request, times the seconds since it began."""
        return self.incomplete * (self._clock.now() - self._incomplete_since)

    def exceeds_fair_share(self, connections: int) -> bool:
        """Return whether requests are refused that are sent now.

        Parameters
        ==========

        connections : int
            Number of connections that share the budget.
        """
        if not self._budget.is_exhausted:
            return False
        return self._pending > self._budget.fair_bytes(connections)

    def add(self, exchange: Exchange) -> None:
        """Count a request that was received whole, or whose body is counted apart."""
        size = REQUEST_BYTES + len(exchange.header_block) + len(exchange.body)
        exchange.held_bytes = size
        self._pending += size
        self._budget.change(size - self.incomplete)
        self.incomplete = 0

    def remove(self, exchange: Exchange) -> None:
        """Count a request no more."""
        self._pending -= exchange.held_bytes
        self._budget.change(-exchange.held_bytes)
        exchange.held_bytes = 0

    def set_incomplete(self, size: int) -> None:
        """Set the bytes so far of a request that was not received whole."""
        if not self.incomplete:
            self._incomplete_since = self._clock.now()
        self._budget.change(size - self.incomplete)
        self.incomplete = size

    def clear(self) -> None:
        """Count nothing any more."""
        self._budget.change(-self._pending - self.incomplete)
        self._pending = self.incomplete = 0
