"""The threshold of the whole chain of services behind an operation."""

from collections.abc import Callable

from rattanfork_core.hints.reach import ChainReach
from rattanfork_core.hints.reports import GateReports
from rattanfork_core.request.importance import RANK_LIMIT


class ChainThresholds:
    """Tells a first node which rank the services behind an operation would shed.

    Explanation
    ===========

    The pattern: a service three levels down sheds a third of its calls.  Nearly
    every chain that is let in breaks there, after two thirds of its work was done.
    The lowest threshold along the chain says what would get through, so what would
    not is refused before any work.

    Parameters
    ==========

    reports : GateReports
        What the gates of the fleet tell.
    reach : ChainReach
        Services behind each operation.
    instances : callable
        Returns how many instances a service has.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> fleet, reach = GateReports(ManualClock(), "a@b"), ChainReach()
    >>> chain = ChainThresholds(fleet, reach, lambda service: 1)
    >>> reach.on_run("look/receipts", ["donors"])
    >>> fleet.report("donors", 2.5, impaired=False)
    >>> chain.cut("look/receipts", "receipts"), chain.cut("pay/claims", "claims")
    (2.5, 5.0)
    """

    def __init__(
        self,
        reports: GateReports,
        reach: ChainReach,
        instances: Callable[[str], int],
    ) -> None:
        self._reports = reports
        self._reach = reach
        self._instances = instances

    def cut(self, operation: str, service: str) -> float:
        """Return the rank from which the operation's chain would be broken."""
        if not len(self._reports):
            return float(RANK_LIMIT)
        return min(self.told(operation, service).values())

    def told(self, operation: str, service: str) -> dict[str, float]:
        """Return the thresholds along the chain, by service."""
        services = (service, *self._reach.services(operation))
        return {
            name: round(self._reports.cut(name, self._instances(name)), 3)
            for name in services
        }
