"""Plain counters for the hot path."""

from collections import Counter

from rattanfork_node.telemetry.durations import DurationBuckets


class Counters:
    """Counts that tasks raise and metrics read.

    Explanation
    ===========

    A metrics instrument builds a set of labels for each call, which costs
    more than the decision it counts.  Tasks raise plain numbers instead, and
    the instruments read them when they are collected.

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
        #: Calls to the store by kind and result; kept by its client.
        self.store: Counter[tuple[str, str]] = Counter()
        #: Callers' requests that were not answered whole and in their objective, by
        #: route and cause.
        self.losses: Counter[tuple[str, str]] = Counter()
        self.events: Counter[str] = Counter()
        #: Of requests at the node of their caller, by route and outcome.
        self.durations = DurationBuckets()
        #: Of runs at this node's upstream, by operation and outcome.
        self.runs = DurationBuckets()

    def snapshot(self) -> dict[str, dict[str, int]]:
        """Return all counts with flat names."""
        return {
            "requests": {"/".join(key): n for key, n in self.requests.items()},
            "calls": {"/".join(key): n for key, n in self.calls.items()},
            "store": {"/".join(key): n for key, n in self.store.items()},
            "losses": {"/".join(key): n for key, n in self.losses.items()},
            "events": dict(self.events),
        }
