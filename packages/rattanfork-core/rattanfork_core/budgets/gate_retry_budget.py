"""Retries that one gate of a service grants to the nodes that call it."""

from collections.abc import Iterator
from itertools import accumulate

from rattanfork_core.budgets.fixed_part import FixedPart
from rattanfork_core.budgets.retry_decision import (
    RetryBudgetState,
    RetryCharge,
    RetryDecision,
)
from rattanfork_core.budgets.service_retry_budget import (
    BUCKETS,
    RATE_BUCKETS,
    ServiceRetryBudget,
)
from rattanfork_core.clock import Clock

#: Fraction of the fixed part from which retries are granted while there are inherited
#: ones.  The rest is left to these, which can't be planned.
_GRANTED_FIXED_SHARE = 0.75
#: Buckets by which the requests that pay for retries may be older than the first of
#: them: a window, less the bucket in which that retry lies.
_LOOKBACK = BUCKETS - 1


class GateRetryBudget(ServiceRetryBudget):
    """One gate's part of the bound on retries to its service.

    Explanation
    ===========

    The bound on retries holds for the sum over all nodes.  Divided among the sending
    nodes of a large fleet, it allows each only one or two retries: some use them up
    by chance and most never need them.  It is divided among the gates of the called
    service instead.  They are few, all requests pass through them, and each grants
    retries in proportion to the requests that it receives.

    The bound of a window is a fraction ``ratio`` of the requests in that window, or
    in the one before if that had more.  It is therefore at least ``ratio / 2`` of the
    requests in both together.  Each gate grants at most this part of its own requests:
    the retries of any span that ends now, up to a window, are at most ``ratio / 2`` of
    the requests in that span and the window before it.  The sum over all gates then
    stays within the bound without any communication, however the load moves among
    them.  A gate that restarts starts without requests, so it grants nothing on the
    account of its predecessor, whose grants are paid for by the predecessor's requests.

    The fixed allowance is divided among the gates.  A gate that restarts takes of its
    part only what has accrued since its start (see :class:`FixedPart`).

    Calls of a run that is itself a retry are retries, too.  If one were denied, the
    work of its run would be lost, so such inherited retries are admitted up to the
    bound, whatever their rank, and the gate grants others only what these leave at
    their current rate.

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

    __slots__ = (
        "_fixed_part",
        "_inherited",
        "_inherited_demand",
        "charged",
    )

    def __init__(self, clock: Clock, ratio: float, extra: float, window: float) -> None:
        super().__init__(clock, ratio, 0.0, window)
        self._fixed_part = FixedPart(
            clock, extra, len(self._retries), self._bucket_seconds
        )
        #: Inherited retries: all that arrived, and those admitted, which are a part
        #: of ``_retries``.
        self._inherited_demand = [0] * len(self._retries)
        self._inherited = [0] * len(self._retries)
        self._series += (self._inherited_demand, self._inherited)
        #: Retries since the start, by how they were charged.
        self.charged = dict.fromkeys(RetryCharge, 0)

    @property
    def age(self) -> float:
        """Seconds since the gate started to count."""
        return self._fixed_part.age

    @property
    def available(self) -> float:
        """Retries that may be granted now."""
        self._advance()
        rate = sum(self._inherited_demand[:RATE_BUCKETS]) / RATE_BUCKETS
        admitted = accumulate(self._inherited)
        reserved = (max(0.0, rate * n - count) for n, count in enumerate(admitted, 1))
        share = _GRANTED_FIXED_SHARE if any(self._inherited_demand) else 1.0
        spans = zip(
            self._unspent_by_span(), self._fixed_part.by_span(), reserved, strict=True
        )
        return min(
            unspent + fixed * share - inherited for unspent, fixed, inherited in spans
        )

    @property
    def allowed(self) -> float:
        """Retries allowed in the current window, including those spent."""
        return self.spent + self.available

    @property
    def state(self) -> RetryBudgetState:
        """The current state."""
        return self._state(self.available)

    def set_gate_count(self, ready: int, recorded: int = 0) -> None:
        """Set the number of gates that share the fixed allowance.

        See :meth:`FixedPart.set_gate_count`.
        """
        self._fixed_part.set_gate_count(ready, recorded)

    def grant(self, rank: float) -> bool:
        """Return whether a request of the given rank may be retried."""
        return self.decide(rank).charge is RetryCharge.GRANTED

    def decide(self, rank: float) -> RetryDecision:
        """Grant or deny the retry of a request of the given rank."""
        available = self.available
        before = self._state(available)
        granted = self._spend(rank, available)
        charge = RetryCharge.GRANTED if granted else RetryCharge.DENIED
        return self._record(charge, before)

    def decide_inherited(self) -> RetryDecision:
        """Admit or deny a call of a run that is itself a retry."""
        before = self.state
        self._inherited_demand[0] += 1
        spans = zip(self._unspent_by_span(), self._fixed_part.by_span(), strict=True)
        if min(unspent + fixed for unspent, fixed in spans) < 1:
            return self._record(RetryCharge.DENIED, before)
        self._retries[0] += 1
        self._inherited[0] += 1
        return self._record(RetryCharge.INHERITED, before)

    def refund(self, decision: RetryDecision) -> None:
        """Return a retry that was charged and not sent."""
        self._advance()
        index = self._bucket - decision.bucket
        if index >= len(self._retries):
            return
        self._retries[index] -= 1
        if decision.charge is RetryCharge.INHERITED:
            self._inherited[index] -= 1

    def _state(self, available: float) -> RetryBudgetState:
        spent = self.spent
        gates = self._fixed_part.gates
        return RetryBudgetState(self.age, gates, spent, spent + available)

    def _unspent_by_span(self) -> Iterator[float]:
        """Return how many more retries the requests pay for, for each span.

        The spans end now and begin 1, 2, ... buckets before; the last one covers a
        window.
        """
        requests = list(accumulate(self._requests))
        for span, spent in enumerate(accumulate(self._retries)):
            yield self._ratio / 2 * requests[span + _LOOKBACK] - spent

    def _record(self, charge: RetryCharge, before: RetryBudgetState) -> RetryDecision:
        self.charged[charge] += 1
        return RetryDecision(charge, before, self._bucket)
