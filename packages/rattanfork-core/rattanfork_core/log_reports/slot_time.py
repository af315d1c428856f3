"""Slot time of services by the result of the caller's request, from log lines."""

from collections import Counter
from collections.abc import Iterable

from ddsketch import DDSketch

from rattanfork_core.log_reports.line_fields import (
    checked_span,
    left_out_fields,
    request_fields,
    run_fields,
)
from rattanfork_core.log_reports.missing_lines import MissingLineCounter, MissingLines
from rattanfork_core.log_reports.sampled_roots import (
    RequestResult,
    SampledRoots,
)
from rattanfork_core.log_reports.slot_time_report import (
    BadRunCount,
    RouteCount,
    ServiceSlotTime,
    SlotTime,
    SlotTimeReport,
)
from rattanfork_core.trace.log_line import LogLine
from rattanfork_core.trace.log_sampler import is_sampled

#: Relative error of the percentiles of queued time.
_QUEUED_ACCURACY = 0.01
_MEDIAN, _HIGH_PERCENTILE = 0.5, 0.95


class SlotTimeCounter:
    """Adds up slot time while lines are read once, in any order.

    Explanation
    ===========

    Nodes always log requests that were refused, failed or late, but under load they
    sample those that succeeded.  Slot time is therefore taken from the requests of
    the sample only, and scaled up.  Counts of lines use all lines.

    Parameters
    ==========

    span : float
        Length of each interval in seconds; above 0.
    roots : SampledRoots or None
        Holds the sampled requests; by default with the usual bound.

    Raises
    ======

    ValueError
        If the span is not above 0.
    """

    def __init__(self, span: float, roots: SampledRoots | None = None) -> None:
        self._span = checked_span(span)
        self._roots = SampledRoots() if roots is None else roots
        self._missing = MissingLineCounter()
        self._routes: Counter[tuple[str, RequestResult, str]] = Counter()
        self._sampled_routes: Counter[tuple[str, RequestResult, str]] = Counter()
        self._bad_runs: Counter[tuple[str, str, str, int]] = Counter()
        self._queued: dict[str, DDSketch] = {}
        self._lines = self._malformed = 0
        self._handlers = {
            "request": self._add_request,
            "run": self._add_run,
            "counted": self._add_counted,
        }

    def add(self, line: LogLine) -> None:
        """Add a line; lines that have malformed fields are only counted."""
        handler = self._handlers.get(line.kind)
        if handler is None:
            return
        self._lines += 1
        if not handler(line):
            self._malformed += 1

    def report(self) -> SlotTimeReport:
        """Return the report on the lines added so far."""
        scale = 1 / self._roots.fraction / 1000
        by_interval: dict[tuple[float, str], Counter[RequestResult]] = {}
        by_service = {service: Counter() for service in self._queued}
        for record in self._roots:
            for (service, begins), slot_ms in record.slot_ms.items():
                seconds = slot_ms * scale
                key = (begins, service)
                by_interval.setdefault(key, Counter())[record.result] += seconds
                by_service.setdefault(service, Counter())[record.result] += seconds
        runs = sum(record.runs for record in self._roots)
        missing = self._missing.bound(runs / max(1, len(self._roots)))
        return SlotTimeReport(
            slots=[
                SlotTime(begins, service, _all_results(sums))
                for (begins, service), sums in sorted(by_interval.items())
            ],
            services=[
                self._service(service, sums, missing)
                for service, sums in sorted(by_service.items())
            ],
            routes=[
                RouteCount(*key, count, self._sampled_routes[key])
                for key, count in sorted(self._routes.items())
            ],
            bad_runs=[
                BadRunCount(*key, count)
                for key, count in sorted(self._bad_runs.items())
            ],
            missing=missing,
            sampled_requests=len(self._roots),
            sampled_runs=runs,
            sampled_fraction=self._roots.fraction,
            lines=self._lines,
            malformed=self._malformed,
        )

    def _service(
        self, service: str, sums: Counter[RequestResult], missing: MissingLines
    ) -> ServiceSlotTime:
        sketch = self._queued.get(service)
        return ServiceSlotTime(
            service,
            _all_results(sums),
            missing.slot_seconds.get(service, 0.0),
            _quantile(sketch, _MEDIAN),
            _quantile(sketch, _HIGH_PERCENTILE),
        )

    def _add_request(self, line: LogLine) -> bool:
        fields = request_fields(line)
        if fields is None:
            return False
        sampled = is_sampled(line.request_id)
        if fields.is_plain:
            self._missing.add_plain(line.instance, sampled)
        if fields.is_call:
            return True
        key = (fields.route, fields.result, fields.reason)
        self._routes[key] += 1
        if sampled:
            self._sampled_routes[key] += 1
            if self._roots.holds(line.request_id):
                self._roots.add_request(line.request_id, fields.result, fields.account)
        return True

    def _add_run(self, line: LogLine) -> bool:
        fields = run_fields(line)
        if fields is None:
            return False
        service = fields.service
        sampled = is_sampled(line.request_id)
        if fields.is_plain:
            self._missing.add_plain(line.instance, sampled)
            self._missing.add_run_time(line.instance, service, fields.run_ms or 0.0)
        else:
            key = (service, fields.outcome, fields.reason, fields.status)
            self._bad_runs[key] += 1
        if not (sampled and self._roots.holds(line.request_id)):
            return True
        sketch = self._queued.get(service)
        if sketch is None:
            sketch = self._queued[service] = DDSketch(_QUEUED_ACCURACY)
        sketch.add(fields.queued_ms)
        begins = line.at // self._span * self._span
        self._roots.add_run(line.request_id, service, begins, fields.run_ms)
        return True

    def _add_counted(self, line: LogLine) -> bool:
        left_out = left_out_fields(line)
        if left_out is None:
            return False
        self._missing.add_left_out(line.instance, left_out)
        return True


def measure_slot_time(lines: Iterable[LogLine], span: float) -> SlotTimeReport:
    """Measure the slot time of each service by the result of the caller's request.

    Parameters
    ==========

    lines : iterable of LogLine
        Lines of any nodes, in any order.
    span : float
        Length of each interval in seconds; above 0.

    Raises
    ======

    ValueError
        If the span is not above 0.

    Examples
    ========

    >>> run = LogLine(7.5, "n2", "run", "r26.1", {"operation": "lookup/claims",
    ...     "outcome": "answered", "status": 200, "run_ms": 50.0})
    >>> request = LogLine(7.6, "n1", "request", "r26", {"route": "lookup",
    ...     "outcome": "answered", "status": 200, "ms": 90.0, "objective_ms": 80.0})
    >>> [slot] = measure_slot_time([run, request], span=1).slots
    >>> slot.begins, slot.service, slot.seconds["late"], slot.useful_share
    (7.0, 'claims', 0.8, 0.0)
    """
    counter = SlotTimeCounter(span)
    for line in lines:
        counter.add(line)
    return counter.report()


def _all_results(sums: Counter[RequestResult]) -> dict[str, float]:
    return {result.value: sums[result] for result in RequestResult}


def _quantile(sketch: DDSketch | None, quantile: float) -> float | None:
    return None if sketch is None else sketch.get_quantile_value(quantile)
