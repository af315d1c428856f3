"""Lowest admission threshold along the call chain of an operation."""

from collections.abc import Callable

from rattanfork_core.gate_status.dependencies import OperationDependencies
from rattanfork_core.gate_status.gate_reports import GateReportTable
from rattanfork_core.request.importance import RANK_LIMIT

#: Threshold of a gate that sheds nothing.
_OPEN = float(RANK_LIMIT)


class CallChainThresholds:
    """Computes the rank from which a request would be shed along its call chain.

    Explanation
    ===========

    If a service three levels down sheds a third of its calls, nearly every request
    that makes several of them fails there, after two thirds of its work is done.  A
    request whose rank is below the lowest threshold along the call chain gets through;
    the entry node sheds the others before any work is done.

    Parameters
    ==========

    reports : GateReportTable
        Thresholds reported by the gates of all services.
    dependencies : OperationDependencies
        Services that each operation calls, at any depth.
    instances : callable
        Returns the number of instances of a service.

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
        dependencies: OperationDependencies,
        instances: Callable[[str], int],
    ) -> None:
        self._reports = reports
        self._dependencies = dependencies
        self._instances = instances

    def threshold(self, operation: str, service: str) -> float:
        """Return the lowest threshold of the service and its dependencies."""
        reports = self._reports
        lowest = _OPEN
        if not len(reports):
            return lowest
        for name in (service, *self._dependencies.services(operation)):
            if reports.has_reports(name):
                threshold = reports.service_threshold(name, self._instances(name))
                lowest = min(lowest, threshold)
        return lowest

    def thresholds_by_service(self, operation: str, service: str) -> dict[str, float]:
        """Return the thresholds of the service and of the operation's dependencies."""
        services = (service, *self._dependencies.services(operation))
        return {
            name: round(self._reports.service_threshold(name, self._instances(name)), 3)
            for name in services
        }

    def lowest_gate_threshold(self, operation: str, service: str) -> float:
        """Return the lowest threshold of any single gate along the call chain."""
        reports = self._reports
        if not len(reports):
            return float(RANK_LIMIT)
        lowest = reports.lowest_threshold(service)
        for name in self._dependencies.services(operation):
            lowest = min(lowest, reports.lowest_threshold(name))
        return lowest
