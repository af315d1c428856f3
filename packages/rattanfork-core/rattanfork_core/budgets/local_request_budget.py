"""An account whose extra attempts stay at this hop."""

from rattanfork_core.budgets.request_budget import RequestBudget


class LocalRequestBudget(RequestBudget):
    """An account that lends nothing to deeper calls.

    Explanation
    ===========

    Where upstreams don't carry the system's context from a run to its calls,
    what was lent could not be spent below and would only be missing here when
    the call is lost.  Deeper attempts are bounded by the retry budgets of
    their services instead.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> account = LocalRequestBudget(ManualClock(), deadline=2.0, attempts=1)
    >>> account.delegate(), account.attempts
    (0, 1)
    """

    __slots__ = ()

    def delegate(self) -> int:
        """Lend nothing."""
        return 0
