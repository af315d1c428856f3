"""Repeats that the gate of a service grants to those who call it."""

from rattanfork_core.budgets.service_retry_budget import ServiceRetryBudget
from rattanfork_core.clock import Clock

#: Part of the repeats allowed by a gate's arrivals that is granted.  The rest covers
#: that gates see their busiest window at different times.
_GRANTED = 0.9
#: Part of the fixed allowance that is granted: nodes may differ for a while in how
#: many gates share it.
_GRANTED_EXTRA = 0.75


class GateRetryBudget:
    """Repeated arrivals that one gate grants, as its part of its service's bound.

    Explanation
    ===========

    The bound on repeated arrivals holds for the sum over the fleet.  Divided among
    the nodes that send, it comes to one or two repeats each in a large fleet, spent
    by chance at some and never at most.  Here it is divided among the gates of the
    called service: they are few, all arrivals pass them, and each grants repeats out
    of the arrivals that it sees itself, so the sum holds without any message.

    Where more is wanted than there is, the most important get all that they want.
    A gate of a few sees enough of what is wanted to tell how far that reaches.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    ratio : float
        Repeats that the service may get for each request.
    extra : float
        Repeats that it may get in each window besides, over all its gates.
    window : float
        Length of the window, in seconds.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> grants = GateRetryBudget(ManualClock(), ratio=0.2, extra=0, window=10)
    >>> for _ in range(10):
    ...     grants.count_request()
    >>> grants.grant(2.5), grants.grant(2.5)
    (True, False)
    """

    __slots__ = ("_budget", "_extra", "_gates")

    def __init__(self, clock: Clock, ratio: float, extra: float, window: float) -> None:
        self._extra = extra * _GRANTED_EXTRA
        self._gates = 1
        self._budget = ServiceRetryBudget(clock, ratio * _GRANTED, self._extra, window)

    @property
    def allowed(self) -> float:
        """Repeats that a window may hold now."""
        return self._budget.allowed

    @property
    def spent(self) -> int:
        """Repeats in the window that ends now."""
        return self._budget.spent

    def set_gate_count(self, gates: int) -> None:
        """Take note of how many gates the service has."""
        if gates != self._gates:
            self._gates = max(1, gates)
            self._budget.extra = self._extra / self._gates

    def count_request(self) -> None:
        """Count a request that arrives for the first time."""
        self._budget.count_request()

    def count_retry(self) -> None:
        """Count a call that a repeated run makes again; nobody can decide on it."""
        self._budget.count_retry()

    def grant(self, rank: float) -> bool:
        """Return whether a request of a rank may arrive once more."""
        return self._budget.spend(rank)

    def refund(self) -> None:
        """Take back a grant: the request was not handed over after all."""
        self._budget.refund()

    def on_attempt(self, lost: bool) -> None:
        """Count an arrival, and whether it came to nothing."""
        self._budget.on_attempt(lost)
