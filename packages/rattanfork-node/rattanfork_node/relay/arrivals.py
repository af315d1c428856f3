"""Repeated arrivals that services may get from here."""

from rattanfork_core.account import RetryBudget
from rattanfork_core.clock import Clock

from rattanfork_node.relay.settings import RelaySettings

#: Part of the allowed ratio that is spent.  The rest covers repeats that no
#: node decides on: calls that a repeated run makes again.
_SPENT_RATIO = 0.6
#: Part of the fixed allowance that is shared out, for the same reason.
_SPENT_EXTRA = 0.5


class ArrivalBudgets:
    """Retry budgets by target service.

    Explanation
    ===========

    The bound holds for the sum over all nodes.  Each node spends a part of
    what its own first arrivals earn, and an even share of the allowance, so
    the sum holds without any message between nodes.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    settings : RelaySettings
        The bound.
    """

    def __init__(self, clock: Clock, settings: RelaySettings) -> None:
        self._clock = clock
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}
        self._nodes = 1

    def share_among(self, nodes: int) -> None:
        """Take note of how many nodes share the allowance."""
        if nodes != self._nodes:
            self._nodes = max(1, nodes)
            self._budgets.clear()

    def earn(self, service: str) -> None:
        """Count a first arrival."""
        self._budget(service).earn()

    def spend(self, service: str) -> bool:
        """Take one repeated arrival out of the budget, if there is one."""
        return self._budget(service).spend()

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            allowance = settings.repeat_extra * _SPENT_EXTRA / self._nodes
            budget = RetryBudget(
                self._clock,
                fraction=settings.repeat_ratio * _SPENT_RATIO,
                trickle=allowance / settings.repeat_window / 2,
                burst=max(1.0, allowance),
            )
            self._budgets[service] = budget
        return budget
