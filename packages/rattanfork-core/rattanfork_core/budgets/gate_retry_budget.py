"""Retries that one gate of a service grants to the nodes that call it."""

from rattanfork_core.budgets.retry_decision import RetryCharge, RetryDecision
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

    __slots__ = ("_created_at", "_extra", "_gates", "charged")

    def __init__(self, clock: Clock, ratio: float, extra: float, window: float) -> None:
        self._extra = extra * _EXTRA_SHARE
        self._gates = 1
        self._created_at = clock.now()
        #: Retries since the start, by how they were charged.
        self.charged = dict.fromkeys(RetryCharge, 0)
        super().__init__(clock, ratio * _RATIO_SHARE, self._extra, window)

    @property
    def state(self) -> RetryDecision:
        """The state that a decision made now would be based on."""
        return RetryDecision(
            RetryCharge.DENIED,
            self._clock.now() - self._created_at,
            self._gates,
            self.spent,
            self.allowed,
        )

    def set_gate_count(self, gates: int) -> None:
        """Set the number of gates that share the fixed allowance."""
        if gates != self._gates:
            self._gates = max(1, gates)
            self.extra = self._extra / self._gates

    def grant(self, rank: float) -> bool:
        """Return whether a request of the given rank may be retried."""
        return self.decide(rank).charge is RetryCharge.GRANTED

    def decide(self, rank: float) -> RetryDecision:
        """Grant or deny the retry of a request of the given rank."""
        before = self.state
        charge = RetryCharge.GRANTED if self.spend(rank) else RetryCharge.DENIED
        self.charged[charge] += 1
        return before._replace(charge=charge)

    def charge_inherited(self) -> RetryDecision:
        """Charge a call of a run that is itself a retry."""
        before = self.state
        self.count_retry()
        self.charged[RetryCharge.INHERITED] += 1
        return before._replace(charge=RetryCharge.INHERITED)
