"""What the lines of several nodes tell of one request."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rattanfork_core.trace.log_line import LogLine

#: Lines that tell of a process and not of a request, and bear on all requests
#: at their instance.
_OF_PROCESS = frozenset(
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
#: Seconds around a request in which lines of its instances' processes are shown.
_AROUND = 5.0


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """One step of a request's story.

    Parameters
    ==========

    at : float
        Time of day at the node, in seconds.
    instance : str
        Where.
    depth : int
        How deep in the tree of calls; 0 is the request asked for.
    text : str
        What happened, with the inputs that decided it.
    """

    at: float
    instance: str
    depth: int
    text: str


def trace_request(request_id: str, lines: Iterable[LogLine]) -> list[TraceEvent]:
    """Return the steps of a request and of the calls made for it, in order.

    Explanation
    ===========

    The ID of a call begins with that of the run that made it and a dot.  Lines
    of processes are told too, for the instances that the request touched and
    some seconds around it: a node that was killed writes no last line, and
    only its next start tells what became of the request.

    Parameters
    ==========

    request_id : str
        ID of the request; that of a call tells of the call alone.
    lines : iterable of LogLine
        Lines of any nodes, in any order.

    Examples
    ========

    >>> line = LogLine(1.0, "n1", "request", "r", {"route": "a",
    ...     "outcome": "not-run", "reason": "shed-early", "status": 503})
    >>> [step.text for step in trace_request("r", [line])]
    ['route a: not-run (shed-early), answered 503']
    """
    prefix = request_id + "."
    own: list[LogLine] = []
    process: list[LogLine] = []
    for line in lines:
        if line.request_id == request_id or line.request_id.startswith(prefix):
            own.append(line)
        elif line.kind in _OF_PROCESS:
            process.append(line)
    if not own:
        return []
    first = min(line.at for line in own) - _AROUND
    last = max(line.at for line in own) + _AROUND
    places = _instances_of(own)
    near = [n for n in process if first <= n.at <= last and n.instance in places]
    steps = [_step(line, request_id) for line in own + near]
    return sorted(steps, key=lambda step: step.at)


def _instances_of(lines: list[LogLine]) -> set[str]:
    places = {line.instance for line in lines}
    for line in lines:
        for attempt in line.get("tries", []):
            places.add(str(attempt.get("to", "")).partition("@")[0])
    return places


def _step(line: LogLine, request_id: str) -> TraceEvent:
    depth = line.request_id.count(".") - request_id.count(".")
    if line.kind == "run":
        depth += 1
    tell = _TELLERS.get(line.kind, _tell_change)
    return TraceEvent(line.at, line.instance, max(0, depth), tell(line))


def _tell_request(line: LogLine) -> str:
    parts = [f"route {line.get('route', '-')}: {_outcome(line)}"]
    parts += [_try(n, t) for n, t in enumerate(line.get("tries", []), 1)]
    parts += _inputs(
        line,
        "ms",
        "rank",
        "rule",
        "retry_after",
        "configuration",
        "revision",
        "allowed_ms",
    )
    thresholds = line.get("thresholds", {})
    if thresholds:
        heard = (f"{n} {c:g} ({a:.1f} s old)" for n, (c, a) in thresholds.items())
        parts.append("thresholds heard: " + ", ".join(heard))
    return "; ".join(parts)


def _tell_run(line: LogLine) -> str:
    where = f"at the guard, for {line.get('origin') or 'this node'}"
    return "; ".join(
        [
            f"{where}: {_outcome(line)}",
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


def _tell_change(line: LogLine) -> str:
    parts = [f"{key} {value}" for key, value in line.fields.items()]
    return "; ".join([line.kind.replace("_", " "), *parts])


_TELLERS: dict[str, Callable[[LogLine], str]] = {
    "request": _tell_request,
    "run": _tell_run,
}


def _outcome(line: LogLine) -> str:
    text = str(line.get("outcome", "-"))
    reason = line.get("reason", "none")
    if reason != "none":
        text += f" ({reason})"
    status = line.get("status", 0)
    return f"{text}, answered {status}" if status else text


def _try(number: int, attempt: dict) -> str:
    text = f"try {number} at {attempt.get('to')}: {attempt.get('reason', '-')}"
    if attempt.get("status"):
        text += f" {attempt['status']}"
    return text + f" after {attempt.get('ms', 0):g} ms"


def _inputs(line: LogLine, *names: str) -> list[str]:
    known = [(name, line.get(name, None)) for name in names]
    return [f"{name} {value}" for name, value in known if value not in (None, "")]
