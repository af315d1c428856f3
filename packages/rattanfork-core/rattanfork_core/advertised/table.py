"""What the upstreams of other instances have advertised, as this node has seen it."""

from collections import OrderedDict

from rattanfork_core.advertised.report import UpstreamReport


class UpstreamReportTable:
    """Keeps the last report on the upstream of each instance.

    Explanation
    ===========

    The gate beside an upstream enforces what the upstream advertises.  If the gate's
    process restarts, it knows nothing of that; each request for it therefore carries
    the report that the sender has.

    Examples
    ========

    >>> table = UpstreamReportTable()
    >>> table.update("claims-1", UpstreamReport("u1", 0, 19.3))
    >>> table.get("claims-1").rate_limit
    19.3
    >>> table.update("claims-1", None)
    >>> table.get("claims-1") is None
    True
    """

    #: Bound on memory, above the instances that one node sends requests to.
    MAX_ENTRIES = 4096

    def __init__(self) -> None:
        self._reports: OrderedDict[str, UpstreamReport] = OrderedDict()

    def get(self, instance: str) -> UpstreamReport | None:
        """Return the report on an instance's upstream, or None if there is none."""
        return self._reports.get(instance)

    def update(self, instance: str, report: UpstreamReport | None) -> None:
        """Store the report of an instance; None if its upstream advertises nothing."""
        if report is None:
            self._reports.pop(instance, None)
            return
        self._reports[instance] = report
        self._reports.move_to_end(instance)
        if len(self._reports) > self.MAX_ENTRIES:
            self._reports.popitem(last=False)
