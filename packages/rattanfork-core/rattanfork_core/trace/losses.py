"""Causes of callers' requests that failed or missed their latency objective."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from rattanfork_core.trace.log_line import LogLine

#: Causes other than the reason in the log line.
LATE = "late"
CALL_FAILED = "call-failed"
UNKNOWN_PLACE = "-"
#: Components of a request's latency, in the order in which they occur.
LATENCY_PARTS = ("first-node", "earlier-attempts", "crossing", "gate", "run", "calls")


@dataclass(frozen=True, slots=True)
class Loss:
    """Number of a route's lost requests in one interval, for one cause and place.

    Parameters
    ==========

    begins : float
        Start of the interval, in seconds since 1970.
    route : str
        The route; ``-`` if none matched.
    cause : str
        The reason at the first node; ``call-failed`` if the upstream failed after
        one of its downstream calls had; ``late`` for a successful response after
        the latency objective.
    place : str
        For ``late`` the largest component of the latency, otherwise the service or
        instance that caused the loss; ``-`` if no line shows it.
    count : int
        Number of requests.
    """

    begins: float
    route: str
    cause: str
    place: str
    count: int


@dataclass(slots=True)
class LossReport:
    """All losses found in the lines, with totals.

    Parameters
    ==========

    losses : list of Loss
        By interval, route, cause and place; their counts add up to ``lost``.
    lost : int
        Lost requests that have a log line.
    counted : dict
        All lost requests by ``route/cause``, up to the last counters that each node
        logged.  Counters are complete, while lines are omitted under load.
    late : dict
        Mean seconds per component of :data:`LATENCY_PARTS` of late requests, by route.
    left_out : dict
        Lines that nodes omitted under load, by kind; they may include more losses.
    """

    losses: list[Loss]
    lost: int
    counted: dict[str, int]
    late: dict[str, dict[str, float]]
    left_out: dict[str, int]


class _CounterTotals:
    """Sums counters of processes; a counter restarts from 0 with its process."""

    def __init__(self) -> None:
        self._last: dict[tuple[str, str], int] = {}
        self._totals: Counter[str] = Counter()

    def add(self, instance: str, counts: dict[str, int]) -> None:
        """Add the counters of a process, which count from its start."""
        for key, count in counts.items():
            previous = self._last.get((instance, key), 0)
            self._totals[key] += count - previous if count >= previous else count
            self._last[instance, key] = count

    def totals(self) -> dict[str, int]:
        """Return all totals, largest first."""
        return dict(self._totals.most_common())


@dataclass(slots=True)
class _GroupedLines:
    """Lines of callers' requests, runs and calls, and sums of other fields."""

    callers: list[LogLine] = field(default_factory=list)
    runs: dict[str, LogLine] = field(default_factory=dict)
    calls: dict[str, list[LogLine]] = field(default_factory=lambda: defaultdict(list))
    left_out: Counter[str] = field(default_factory=Counter)
    sums: _CounterTotals = field(default_factory=_CounterTotals)


def loss_cause(status: int, reason: str, late: bool) -> str | None:
    """Return the cause for which a caller's request counts as lost, or None.

    Parameters
    ==========

    status : int
        Status of the final response.
    reason : str
        Label of the reason of the outcome.
    late : bool
        Whether the response missed the route's latency objective.

    Examples
    ========

    >>> loss_cause(200, "none", late=True)
    'late'
    >>> loss_cause(500, "none", late=False)
    'call-failed'
    >>> loss_cause(503, "shed-early", late=False)
    'shed-early'
    >>> loss_cause(200, "none", late=False) is None
    True
    """
    if 200 <= status < 300:
        return LATE if late else None
    # The reason is set if the upstream failed without a failed downstream call.
    return CALL_FAILED if reason == "none" and status >= 500 else reason


def count_losses(lines: Iterable[LogLine], span: float) -> LossReport:
    """Count lost requests of callers by interval, route, cause and place.

    Explanation
    ===========

    The first node writes one line for each request of a caller, with its status
    and latency.  A request counts as lost once if it had no successful response
    within the route's latency objective.  A retry by the caller has a new request
    ID and counts as a separate request.

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

    >>> line = LogLine(7.0, "n1", "request", "r", {"route": "a",
    ...     "outcome": "not-run", "reason": "shed-early", "status": 503,
    ...     "thresholds": {"n2": [1.5, 0.1]}})
    >>> report = count_losses([line, line], span=5)
    >>> report.lost, report.losses[0].cause, report.losses[0].place
    (2, 'shed-early', 'n2')
    """
    if span <= 0:
        raise ValueError("the span must be above 0")
    grouped = _group(lines)
    counts: Counter[tuple[float, str, str, str]] = Counter()
    late: dict[str, list[dict[str, float]]] = defaultdict(list)
    for line in grouped.callers:
        found = _cause(line, grouped)
        if found is None:
            continue
        cause, place = found
        route = line.get("route") or UNKNOWN_PLACE
        counts[line.at // span * span, route, cause, place] += 1
        if cause == LATE:
            late[route].append(_parts(line, grouped))
    return LossReport(
        [Loss(*key, count) for key, count in sorted(counts.items())],
        sum(counts.values()),
        grouped.sums.totals(),
        {route: _mean(parts) for route, parts in sorted(late.items())},
        dict(grouped.left_out),
    )


def _group(lines: Iterable[LogLine]) -> _GroupedLines:
    found = _GroupedLines()
    for line in lines:
        if line.kind == "request":
            if line.get("call"):
                found.calls[line.request_id.rpartition(".")[0]].append(line)
            else:
                found.callers.append(line)
        elif line.kind == "run":
            found.runs[line.request_id] = line
        elif line.kind == "counted":
            found.sums.add(line.instance, line.get("losses", {}))
        for kind, count in line.get("lines_left_out", {}).items():
            found.left_out[kind] += count
    return found


def _is_success(line: LogLine) -> bool:
    return 200 <= line.get("status", 0) < 300


def _is_late(line: LogLine) -> bool:
    objective = line.get("objective_ms", None)
    return objective is not None and line.get("ms", 0) > objective


def _cause(line: LogLine, lines: _GroupedLines) -> tuple[str, str] | None:
    """Return the cause and place of a loss; None if the request was not lost."""
    reason = str(line.get("reason", "none"))
    cause = loss_cause(line.get("status", 0), reason, _is_late(line))
    if cause is None:
        return None
    if cause == LATE:
        return cause, _slowest_part(_parts(line, lines))
    thresholds = line.get("thresholds", {})
    if thresholds:
        return cause, min(thresholds, key=lambda name: thresholds[name][0])
    if cause == CALL_FAILED:
        return cause, _failed_service(line.request_id, lines)
    return cause, str(line.get("service") or UNKNOWN_PLACE)


def _failed_service(request_id: str, lines: _GroupedLines) -> str:
    """Return the service of the deepest failed call below a request."""
    for call in lines.calls.get(request_id, ()):
        if not _is_success(call):
            deeper = _failed_service(call.request_id, lines)
            found = deeper if deeper != UNKNOWN_PLACE else call.get("service")
            return f"{found}"
    return UNKNOWN_PLACE


def _parts(line: LogLine, lines: _GroupedLines) -> dict[str, float]:
    """Return the seconds of a request by component; ``crossing`` gets the rest."""
    attempt_times = [attempt.get("ms") or 0.0 for attempt in line.get("tries", [])]
    last = attempt_times[-1] if attempt_times else 0.0
    run = lines.runs.get(line.request_id)
    queued = (run.get("queued_ms") or 0.0) if run is not None else 0.0
    ran = (run.get("run_ms") or 0.0) if run is not None else 0.0
    calls = sum(call.get("ms", 0.0) for call in lines.calls.get(line.request_id, ()))
    calls = min(calls, ran)
    seconds = (
        line.get("ms", 0.0) - sum(attempt_times),
        sum(attempt_times) - last,
        last - queued - ran,
        queued,
        ran - calls,
        calls,
    )
    return {
        part: max(0.0, ms) / 1000
        for part, ms in zip(LATENCY_PARTS, seconds, strict=True)
    }


def _slowest_part(parts: dict[str, float]) -> str:
    return max(parts, key=lambda part: parts[part])


def _mean(parts: list[dict[str, float]]) -> dict[str, float]:
    return {part: sum(p[part] for p in parts) / len(parts) for part in LATENCY_PARTS}
