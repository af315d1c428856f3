"""Counts of request outcomes over time, from log lines."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from rattanfork_core.trace.log_line import LogLine

_COUNTED = ("request", "run")


@dataclass(frozen=True, slots=True)
class ReasonCount:
    """Number of requests or runs with the same outcome and reason in an interval.

    Parameters
    ==========

    begins : float
        Start of the interval, in seconds since 1970.
    kind : str
        ``request`` at the caller's node, ``run`` at the node of the upstream.
    route : str
        The route, or the route and service of a run.
    outcome, reason : str
        Outcome and reason as logged.
    count : int
        Number of log lines.
    """

    begins: float
    kind: str
    route: str
    outcome: str
    reason: str
    count: int


def count_reasons(
    lines: Iterable[LogLine], span: float
) -> tuple[list[ReasonCount], dict[str, int]]:
    """Count outcomes by interval; return also the number of omitted lines by kind.

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
    ...     "outcome": "not-run", "reason": "shed-early"})
    >>> counts, left_out = count_reasons([line, line], span=5)
    >>> counts[0].begins, counts[0].count, left_out
    (5.0, 2, {})
    """
    if span <= 0:
        raise ValueError("the span must be above 0")
    counts: Counter[tuple] = Counter()
    left_out: Counter[str] = Counter()
    for line in lines:
        if line.kind in _COUNTED:
            route = line.get("route") or line.get("operation", "-")
            key = (line.kind, route, line.get("outcome", "-"), line.get("reason", "-"))
            counts[line.at // span * span, *key] += 1
        for kind, count in line.get("lines_left_out", {}).items():
            left_out[kind] += count
    return [ReasonCount(*key, n) for key, n in sorted(counts.items())], dict(left_out)
