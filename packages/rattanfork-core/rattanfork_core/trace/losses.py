"""Why callers' requests were not answered whole and within their objective."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from rattanfork_core.trace.log_line import LogLine

#: Causes that are not the reason of a line as it stands.
LATE = "late"
CALL_FAILED = "call-failed"
UNKNOWN_PLACE = "-"
#: Where the time of a request goes, in the order of its way.
LATENCY_PARTS = ("first-node", "earlier-attempts", "crossing", "gate", "run", "calls")


@dataclass(frozen=True, slots=True)
class Loss:
    """Requests of one route that were lost for one cause in a span of time.

    Parameters
    ==========

    begins : float
        Start of the span, in seconds since 1970.
    route : str
        Their route; ``-`` where none covers them.
    cause : str
        Why: the reason at the first node; ``call-failed`` where the upstream
        failed after a call of its run had; ``late`` for a whole answer after the
        objective.
    place : str
        The service or instance that it comes down to; ``-`` if no line tells.
    count : int
        How many.
    """

    begins: float
    route: str
    cause: str
    place: str
    count: int


@dataclass(slots=True)
class LossReport:
    """All losses, with what they are a part of.

    Parameters
    ==========

    losses : list of Loss
        By span, route, cause and place; their counts add up to ``lost``.
    lost : int
        Callers' requests with a line that were lost.
    counted : dict
        All lost requests by ``route/cause``, as the nodes counted them up to their
        last sum; lines are left out under load, counts are not.
    late : dict
        Mean seconds of a late request by route and part of :data:`LATENCY_PARTS`.
    left_out : dict
        Lines that nodes left out under load, by kind: losses beyond those told.
    """

    losses: list[Loss]
    lost: int
    counted: dict[str, int]
    late: dict[str, dict[str, float]]
    left_out: dict[str, int]


class _Sums:
    """Adds up counts of processes that start anew from nothing."""

    def __init__(self) -> None:
        self._last: dict[tuple[str, str], int] = {}
        self._totals: Counter[str] = Counter()

    def add(self, instance: str, counts: dict[str, int]) -> None:
        """Take what a process has counted since its start."""
        for key, count in counts.items():
            before = self._last.get((instance, key), 0)
            self._totals[key] += count - before if count >= before else count
            self._last[instance, key] = count

    def totals(self) -> dict[str, int]:
        """Return all counts, the largest first."""
        return dict(self._totals.most_common())


@dataclass(slots=True)
class _Lines:
    """Lines about requests, by what is asked of them."""

    callers: list[LogLine] = field(default_factory=list)
    runs: dict[str, LogLine] = field(default_factory=dict)
    calls: dict[str, list[LogLine]] = field(default_factory=lambda: defaultdict(list))
    left_out: Counter[str] = field(default_factory=Counter)
    sums: _Sums = field(default_factory=_Sums)


def loss_cause(status: int, reason: str, late: bool) -> str | None:
    """Return why a caller's request is lost, as its first node knows it.

    Parameters
    ==========

    status : int
        Status of its final answer.
    reason : str
        Label of the reason of its outcome.
    late : bool
        Whether the answer came after the route's objective.

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
    # An upstream that fails by itself has a reason of its own.
    return CALL_FAILED if reason == "none" and status >= 500 else reason


def count_losses(lines: Iterable[LogLine], span: float) -> LossReport:
    """Return why callers' requests were lost, by route and span of time.

    Explanation
    ===========

    Each caller's request has one line at its first node, which says whether it
    was answered with success within the route's objective; each that was not
    counts once.  A caller that was refused and came back has sent another
    request under another ID, so lines can't tell the two from two callers.

    Parameters
    ==========

    lines : iterable of LogLine
        Lines of any nodes, in any order.
    span : float
        Seconds of each span; above 0.

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
    sorted_lines = _sort(lines)
    counts: Counter[tuple[float, str, str, str]] = Counter()
    late: dict[str, list[dict[str, float]]] = defaultdict(list)
    for line in sorted_lines.callers:
        found = _cause(line, sorted_lines)
        if found is None:
            continue
        cause, place = found
        route = line.get("route") or UNKNOWN_PLACE
        counts[line.at // span * span, route, cause, place] += 1
        if cause == LATE:
            late[route].append(_parts(line, sorted_lines))
    return LossReport(
        [Loss(*key, count) for key, count in sorted(counts.items())],
        sum(counts.values()),
        sorted_lines.sums.totals(),
        {route: _mean(parts) for route, parts in sorted(late.items())},
        dict(sorted_lines.left_out),
    )


def _sort(lines: Iterable[LogLine]) -> _Lines:
    found = _Lines()
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


def _cause(line: LogLine, lines: _Lines) -> tuple[str, str] | None:
    """Return why a request was lost and what it comes down to; None if it was not."""
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


def _failed_service(request_id: str, lines: _Lines) -> str:
    """Return the service of the deepest call that failed under a request."""
    for call in lines.calls.get(request_id, ()):
        if not _is_success(call):
            deeper = _failed_service(call.request_id, lines)
            found = deeper if deeper != UNKNOWN_PLACE else call.get("service")
            return f"{found}"
    return UNKNOWN_PLACE


def _parts(line: LogLine, lines: _Lines) -> dict[str, float]:
    """Return the seconds of a request by part; what no line tells is crossing."""
    tries = [attempt.get("ms") or 0.0 for attempt in line.get("tries", [])]
    last = tries[-1] if tries else 0.0
    run = lines.runs.get(line.request_id)
    queued = (run.get("queued_ms") or 0.0) if run is not None else 0.0
    ran = (run.get("run_ms") or 0.0) if run is not None else 0.0
    calls = sum(call.get("ms", 0.0) for call in lines.calls.get(line.request_id, ()))
    calls = min(calls, ran)
    seconds = (
        line.get("ms", 0.0) - sum(tries),
        sum(tries) - last,
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
