"""Trace of one request from the log lines of several nodes."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rattanfork_core.trace.log_line import LogLine

#: Events of a process that may affect all requests at its instance.
_PROCESS_EVENTS = frozenset(
    (
        "started",
        "stopped",
        "draining",
        "cut_off",
        "reload",
        "store_lost",
        "store_regained",
        "upstream_attached",
        "upstream_released",
        "configuration_in_force",
        "rules_in_force",
    )
)
#: Seconds before and after a request in which process events are included.
_MARGIN_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """An event in the trace of a request.

    Parameters
    ==========

    at : float
        Wall-clock time at the node, in seconds since 1970.
    instance : str
        The instance whose node wrote the line.
    depth : int
        Depth in the call tree; 0 is the traced request.
    text : str
        Description of the event, with the inputs of the node's decision.
    """

    at: float
    instance: str
    depth: int
    text: str


def trace_request(request_id: str, lines: Iterable[LogLine]) -> list[TraceEvent]:
    """Return the events of a request and its downstream calls, ordered by time.

    Explanation
    ===========

    The ID of a downstream call is the ID of the request that made it, a dot and a
    suffix.  Process events of the instances involved, shortly before and after the
    request, are included: a killed node writes no final line, and only its next
    start shows why the request was lost.

    Parameters
    ==========

    request_id : str
        ID of the request, or of a downstream call to trace only that call.
    lines : iterable of LogLine
        Lines of any nodes, in any order.

    Examples
    ========

    >>> line = LogLine(1.0, "n1", "request", "r", {"route": "a",
    ...     "outcome": "not-run", "reason": "shed-early", "status": 503})
    >>> [event.text for event in trace_request("r", [line])]
    ['route a: not-run (shed-early), answered 503']
    """
    prefix = request_id + "."
    own: list[LogLine] = []
    process: list[LogLine] = []
    for line in lines:
        if line.request_id == request_id or line.request_id.startswith(prefix):
            own.append(line)
        elif line.kind in _PROCESS_EVENTS:
            process.append(line)
    if not own:
        return []
    first = min(line.at for line in own) - _MARGIN_SECONDS
    last = max(line.at for line in own) + _MARGIN_SECONDS
    instances = _instances_of(own)
    near = [n for n in process if first <= n.at <= last and n.instance in instances]
    events = [_event(line, request_id) for line in own + near]
    return sorted(events, key=lambda event: event.at)


def _instances_of(lines: list[LogLine]) -> set[str]:
    instances = {line.instance for line in lines}
    for line in lines:
        for attempt in line.get("tries", []):
            instances.add(str(attempt.get("to", "")).partition("@")[0])
    return instances


def _event(line: LogLine, request_id: str) -> TraceEvent:
    depth = line.request_id.count(".") - request_id.count(".")
    if line.kind == "run":
        depth += 1
    describe = _DESCRIPTIONS.get(line.kind, _describe_change)
    return TraceEvent(line.at, line.instance, max(0, depth), describe(line))


def _describe_request(line: LogLine) -> str:
    parts = [f"route {line.get('route', '-')}: {_outcome(line)}"]
    parts += [_attempt(n, t) for n, t in enumerate(line.get("tries", []), 1)]
    parts += _inputs(
        line,
        "proof",
        "ms",
        "rank",
        "fair_share",
        "rule",
        "retry_after",
        "configuration",
        "revision",
        "allowed_ms",
    )
    thresholds = line.get("thresholds", {})
    if thresholds:
        known = (f"{n} {c:g} ({a:.1f} s old)" for n, (c, a) in thresholds.items())
        parts.append("thresholds heard: " + ", ".join(known))
    return "; ".join(parts)


def _describe_run(line: LogLine) -> str:
    origin = f"at the guard, for {line.get('origin') or 'this node'}"
    return "; ".join(
        [
            f"{origin}: {_outcome(line)}",
            *_inputs(
                line,
                "queued_ms",
                "run_ms",
                "left_ms",
                "rank",
                "cut",
                "running",
                "waiting",
                "slots",
                "upstream",
                "failed_calls",
            ),
        ]
    )


def _describe_change(line: LogLine) -> str:
    parts = [f"{key} {value}" for key, value in line.fields.items()]
    return "; ".join([line.kind.replace("_", " "), *parts])


_DESCRIPTIONS: dict[str, Callable[[LogLine], str]] = {
    "request": _describe_request,
    "run": _describe_run,
}


def _outcome(line: LogLine) -> str:
    text = str(line.get("outcome", "-"))
    reason = line.get("reason", "none")
    if reason != "none":
        text += f" ({reason})"
    status = line.get("status", 0)
    return f"{text}, answered {status}" if status else text


def _attempt(number: int, attempt: dict) -> str:
    text = f"try {number} at {attempt.get('to')}: {attempt.get('reason', '-')}"
    if attempt.get("status"):
        text += f" {attempt['status']}"
    return text + f" after {attempt.get('ms', 0):g} ms"


def _inputs(line: LogLine, *names: str) -> list[str]:
    known = [(name, line.get(name, None)) for name in names]
    return [f"{name} {value}" for name, value in known if value not in (None, "")]
