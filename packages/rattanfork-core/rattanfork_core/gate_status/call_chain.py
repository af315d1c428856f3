"""The threshold of the whole chain of services behind an operation."""

from collections.abc import Callable

from rattanfork_core.gate_status.dependencies import OperationDependencies
from rattanfork_core.gate_status.gate_reports import GateReportTable
from rattanfork_core.request.importance import RANK_LIMIT


class CallChainThresholds:
    """Tells a first node which rank the services behind an operation would shed.

    Explanation
    ===========

    The pattern: a service three levels down sheds a third of its calls.  Nearly
    every chain that is let in breaks there, after two thirds of its work was done.
    The lowest threshold along the chain says what would get through, so what would
    not is refused before any work.

    Parameters
    ==========

    reports : GateReportTable
        What the gates of the fleet tell.
    reach : OperationDependencies
        Services behind each operation.
    instances : callable
        Returns how many instances a service has.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> reports = GateReportTable(ManualClock(), "claims-1@b")
    >>> dependencies = OperationDependencies()
    >>> chain = CallChainThresholds(reports, dependencies, lambda service: 1)
    >>> dependencies.record_run("look/receipts", ["donors"])
    >>> reports.update_own("donors", 2.5, impaired=False)
    >>> chain.threshold("look/receipts", "receipts")
    2.5
    >>> chain.threshold("pay/claims", "claims")
    5.0
    """

    def __init__(
        self,
        reports: GateReportTable,
        reach: OperationDependencies,
        instances: Callable[[str], int],
    ) -> None:
        self._reports = reports
        self._reach = reach
        self._instances = instances

    def threshold(self, operation: str, service: str) -> float:
        """Return the rank from which the operation's chain would be broken."""
        if not len(self._reports):
            return float(RANK_LIMIT)
        return min(self.thresholds_by_service(operation, service).values())

    def thresholds_by_service(self, operation: str, service: str) -> dict[str, float]:
        """Return the thresholds along the chain, by service."""
        services = (service, *self._reach.services(operation))
        return {
            name: round(self._reports.service_threshold(name, self._instances(name)), 3)
            for name in services
        }
