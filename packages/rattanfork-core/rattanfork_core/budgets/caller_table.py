"""What a node remembers of callers and their recent requests."""

from collections import OrderedDict

from rattanfork_core.budgets.caller_retry_budget import CallerRetryBudget
from rattanfork_core.budgets.rate_limit import RateLimit
from rattanfork_core.clock import Clock


class CallerTable:
    """Retry budgets, rate limits and recent request IDs, in bounded memory.

    Explanation
    ===========

    A request ID that comes again from the same caller joins the account of
    the first: it gets no new extra attempts, and counts against the caller's
    retry budget.  From another caller it is refused, for answers and
    decisions must not cross between callers.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    most : int
        Most callers, and most request IDs, remembered.
    """

    def __init__(self, clock: Clock, most: int = 20_000) -> None:
        self._clock = clock
        self._most = most
        self._budgets: OrderedDict[str, CallerRetryBudget] = OrderedDict()
        self._limits: OrderedDict[tuple[str, str], RateLimit] = OrderedDict()
        self._recent: OrderedDict[str, tuple[str, int]] = OrderedDict()

    def count_attempt(self, request_id: str, caller: str) -> int | None:
        """Return the number of this attempt, or None for another's ID."""
        known = self._recent.get(request_id)
        if known is None:
            self._recent[request_id] = (caller, 1)
            if len(self._recent) > self._most:
                self._recent.popitem(last=False)
            return 1
        first_caller, attempts = known
        if first_caller != caller:
            return None
        self._recent[request_id] = (caller, attempts + 1)
        return attempts + 1

    def retry_budget(self, name: str) -> CallerRetryBudget:
        """Return the retry budget of a caller or a target."""
        budget = self._budgets.get(name)
        if budget is None:
            budget = CallerRetryBudget(self._clock)
            self._budgets[name] = budget
            if len(self._budgets) > self._most:
                self._budgets.popitem(last=False)
        return budget

    def rate_limit(self, rule: str, caller: str, rate: float) -> RateLimit:
        """Return the rate limit of a rule, for one caller or "" for all."""
        key = (f"{rule}:{rate:g}", caller)
        limit = self._limits.get(key)
        if limit is None:
            limit = RateLimit(self._clock, rate)
            self._limits[key] = limit
            if len(self._limits) > self._most:
                self._limits.popitem(last=False)
        return limit
