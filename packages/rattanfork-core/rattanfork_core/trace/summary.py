"""Counts of outcomes and reasons over time."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from rattanfork_core.trace.log_line import LogLine

_COUNTED = ("request", "run")


@dataclass(frozen=True, slots=True)
class ReasonCount:
    """How often something came to the same end in a span of time.

    Parameters
    ==========

    begins : float
        Start of the span, in seconds since 1970.
    kind : str
        ``request`` at the node of the caller, ``run`` at a guard.
    route : str
        The route, or the route and service of a run.
    outcome, reason : str
        The end.
    count : int
        Lines that tell of it.
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
    """Return counts by span and reason, and how many lines were left out.

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
