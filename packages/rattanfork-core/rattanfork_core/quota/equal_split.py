"""Quotas split equally among all nodes, without any messages."""

from collections.abc import Callable

from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.clock import Clock
from rattanfork_core.quota.bucket import TokenBucket
from rattanfork_core.quota.quota import DecisionCallback, Quota, QuotaDecision


class EqualSplitQuota(Quota):
    """Gives each node an equal part of each account's limit.

    Explanation
    ===========

    No messages are needed, and the limit holds as long as the number of nodes is
    known.  A part that one node does not use is lost to the others, so an account
    whose requests arrive at a few nodes, or unevenly, is refused below its limit.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    fleet_size : callable
        Returns the number of nodes.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> decisions = []
    >>> quota = EqualSplitQuota(ManualClock(), lambda: 10)
    >>> account = ClientAccount("clerks", rate=10, burst=10)
    >>> for _ in range(2):
    ...     quota.take(account, lambda decision, _: decisions.append(decision.value))
    >>> decisions
    ['granted', 'exhausted']
    """

    def __init__(self, clock: Clock, fleet_size: Callable[[], int]) -> None:
        self._clock = clock
        self._fleet_size = fleet_size
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, account: ClientAccount, decided: DecisionCallback) -> None:
        """Decide immediately, from this node's part of the limit."""
        if not account.limited:
            decided(QuotaDecision.GRANTED, 0.0)
            return
        fraction = 1 / max(1, self._fleet_size())
        capacity = max(1.0, account.burst * fraction)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = TokenBucket(self._clock, capacity)
        rate = account.rate * fraction
        bucket.refill(rate, capacity)
        if bucket.take(1):
            decided(QuotaDecision.GRANTED, 0.0)
        else:
            decided(QuotaDecision.EXHAUSTED, (1 - bucket.level) / rate)

    def refund(self, account: ClientAccount, granted_at: float) -> None:
        """Put the token back into this node's part."""
        bucket = self._buckets.get(account.name)
        if bucket is not None:
            bucket.refund(1)

    def tick(self) -> None:
        """Do nothing, as there are no messages to time out."""
