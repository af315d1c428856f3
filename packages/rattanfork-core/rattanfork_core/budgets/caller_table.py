"""Per-caller retry budgets, rate limits and recent request IDs of a node."""

from collections import OrderedDict

from rattanfork_core.budgets.caller_retry_budget import CallerRetryBudget
from rattanfork_core.budgets.rate_limit import RateLimit
from rattanfork_core.clock import Clock


class CallerTable:
    """Bounded tables of retry budgets, rate limits and recent request IDs.

    Explanation
    ===========

    A request ID that the same caller sends again counts as a retry: it gets no
    new extra attempts and is charged to the caller's retry budget.  The same ID
    from another caller is refused, so that no caller receives the response or
    the decisions made for another.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    max_entries : int
        Maximum number of entries in each table.
    """

    def __init__(self, clock: Clock, max_entries: int = 20_000) -> None:
        self._clock = clock
        self._max_entries = max_entries
        self._budgets: OrderedDict[str, CallerRetryBudget] = OrderedDict()
        self._limits: OrderedDict[tuple[str, str], RateLimit] = OrderedDict()
        self._recent: OrderedDict[str, tuple[str, int]] = OrderedDict()

    def count_attempt(self, request_id: str, caller: str) -> int | None:
        """Return the attempt number, or None if another caller used this ID."""
        known = self._recent.get(request_id)
        if known is None:
            self._recent[request_id] = (caller, 1)
            if len(self._recent) > self._max_entries:
                self._recent.popitem(last=False)
            return 1
        first_caller, attempts = known
        if first_caller != caller:
            return None
        self._recent[request_id] = (caller, attempts + 1)
        return attempts + 1

    def retry_budget(self, name: str) -> CallerRetryBudget:
        """Return the retry budget of a caller or a target service."""
        budget = self._budgets.get(name)
        if budget is None:
            budget = CallerRetryBudget(self._clock)
            self._budgets[name] = budget
            if len(self._budgets) > self._max_entries:
                self._budgets.popitem(last=False)
        return budget

    def rate_limit(self, rule: str, caller: str, rate: float) -> RateLimit:
        """Return the rate limit of a rule for a caller; "" stands for all callers."""
        key = (f"{rule}:{rate:g}", caller)
        limit = self._limits.get(key)
        if limit is None:
            limit = RateLimit(self._clock, rate)
            self._limits[key] = limit
            if len(self._limits) > self._max_entries:
                self._limits.popitem(last=False)
        return limit
