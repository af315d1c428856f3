"""Quotas in equal parts."""

from collections.abc import Callable

from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.clock import Clock
from rattanfork_core.quota.bucket import TokenBucket
from rattanfork_core.quota.quota import DecisionCallback, Quota, QuotaDecision


class EqualSplitQuota(Quota):
    """Gives each node an equal part of each limit.

    Explanation
    ===========

    Nothing has to travel, and no sum exceeds the limit while the size of the fleet is
    known.  What one node does not use is of no use to another, so an account whose
    requests come at a few nodes, or one by one, is refused below its limit.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    fleet_size : callable
        Returns how many nodes there are.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> verdicts = []
    >>> quota = EqualSplitQuota(ManualClock(), lambda: 10)
    >>> account = ClientAccount("clerks", rate=10, burst=10)
    >>> for _ in range(2):
    ...     quota.take(account, lambda verdict, after: verdicts.append(verdict.value))
    >>> verdicts
    ['granted', 'exhausted']
    """

    def __init__(self, clock: Clock, fleet_size: Callable[[], int]) -> None:
        self._clock = clock
        self._fleet = fleet_size
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, account: ClientAccount, decided: DecisionCallback) -> None:
        """Decide at once, from this node's part."""
        if not account.limited:
            decided(QuotaDecision.GRANTED, 0.0)
            return
        part = 1 / max(1, self._fleet())
        most = max(1.0, account.burst * part)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = TokenBucket(self._clock, most)
        rate = account.rate * part
        bucket.refill(rate, most)
        if bucket.take(1):
            decided(QuotaDecision.GRANTED, 0.0)
        else:
            decided(QuotaDecision.EXHAUSTED, (1 - bucket.level) / rate)

    def refund(self, account: ClientAccount, granted_at: float) -> None:
        """Return the token to this node's part."""
        bucket = self._buckets.get(account.name)
        if bucket is not None:
            bucket.refund(1)

    def tick(self) -> None:
        """Do nothing: no message is under way."""
