"""Counters that the request path increments and exporters read."""

from collections import Counter

from rattanfork_node.telemetry.durations import DurationBuckets


class Counters:
    """Request, call and event counters of a node.

    Explanation
    ===========

    An instrument of a metrics library builds a label set for each increment, which
    costs more than the decision that it counts.  The request path increments plain
    numbers instead, and exporters read them at collection.

    Examples
    ========

    >>> counters = Counters()
    >>> counters.requests["answered", "high", "none"] += 1
    >>> counters.snapshot()["requests"]
    {'answered/high/none': 1}
    """

    def __init__(self) -> None:
        self.requests: Counter[tuple[str, str, str]] = Counter()
        self.calls: Counter[tuple[str, str]] = Counter()
        #: Calls to the store by kind and result; incremented by its client.
        self.store: Counter[tuple[str, str]] = Counter()
        #: Callers' requests that failed or missed the latency objective, by route and
        #: cause.
        self.losses: Counter[tuple[str, str]] = Counter()
        self.events: Counter[str] = Counter()
        #: Durations of requests at the caller's node, by route and outcome.
        self.durations = DurationBuckets()
        #: Durations of runs at this node's upstream, by operation and outcome.
        self.runs = DurationBuckets()

    def snapshot(self) -> dict[str, dict[str, int]]:
        """Return all counts, with the labels of each joined to one name."""
        return {
            "requests": {"/".join(key): n for key, n in self.requests.items()},
            "calls": {"/".join(key): n for key, n in self.calls.items()},
            "store": {"/".join(key): n for key, n in self.store.items()},
            "losses": {"/".join(key): n for key, n in self.losses.items()},
            "events": dict(self.events),
        }
