"""A request budget whose extra attempts stay at this hop."""

from rattanfork_core.budgets.request_budget import RequestBudget


class LocalRequestBudget(RequestBudget):
    """A request budget that delegates no attempts to downstream calls.

    Explanation
    ===========

    If upstreams do not propagate the context header from a request to its
    downstream calls, delegated attempts could not be used there and would be
    missing for retries at this hop.  Downstream retries are bounded by the retry
    budgets of their services instead.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> budget = LocalRequestBudget(ManualClock(), deadline=2.0, attempts=1)
    >>> budget.delegate(), budget.attempts
    (0, 1)
    """

    __slots__ = ()

    def delegate(self) -> int:
        """Return 0: all attempts stay here."""
        return 0
