"""Retries that one gate of a service grants to the nodes that call it."""

from rattanfork_core.budgets.service_retry_budget import ServiceRetryBudget
from rattanfork_core.clock import Clock

#: Fraction of the traffic-based allowance that a gate grants.  Gates reach their peak
#: windows at different times, so their full allowances could exceed the total bound.
_RATIO_SHARE = 0.9
#: Fraction of the fixed allowance that is granted: nodes may temporarily disagree
#: on how many gates share it.
_EXTRA_SHARE = 0.75


class GateRetryBudget(ServiceRetryBudget):
    """One gate's part of the bound on retries to its service.

    Explanation
    ===========

    The bound on retries holds for the sum over all nodes.  Divided among the sending
    nodes of a large fleet, it allows each only one or two retries: some use them up
    by chance and most never need them.  It is divided among the gates of the called
    service instead.  They are few, all requests pass through them, and each grants
    retries in proportion to the requests that it receives, so the sum stays within
    the bound without any communication.

    If demand exceeds the budget, the most important requests are granted all their
    retries.  With few gates, each sees enough of the demand to determine the rank
    up to which this is possible.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    ratio : float
        Retries allowed per request to the service.
    extra : float
        Additional retries allowed in each window, over all gates of the service.
    window : float
        Length of the window, in seconds.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> budget = GateRetryBudget(ManualClock(), ratio=0.2, extra=0, window=10)
    >>> for _ in range(10):
    ...     budget.count_request()
    >>> budget.grant(2.5), budget.grant(2.5)
    (True, False)
    """

    __slots__ = ("_extra", "_gates")

    def __init__(self, clock: Clock, ratio: float, extra: float, window: float) -> None:
        self._extra = extra * _EXTRA_SHARE
        self._gates = 1
        super().__init__(clock, ratio * _RATIO_SHARE, self._extra, window)

    def set_gate_count(self, gates: int) -> None:
        """Set the number of gates that share the fixed allowance."""
        if gates != self._gates:
            self._gates = max(1, gates)
            self.extra = self._extra / self._gates

    def grant(self, rank: float) -> bool:
        """Return whether a request of the given rank may be retried."""
        return self.spend(rank)
