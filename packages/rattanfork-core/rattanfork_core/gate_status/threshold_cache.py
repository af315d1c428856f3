"""Cache of the admission thresholds that came with replies."""

from rattanfork_core.clock import Clock
from rattanfork_core.request.importance import RANK_LIMIT

#: Threshold of a gate that sheds nothing.
_OPEN = float(RANK_LIMIT)
#: Largest distance in ranks between the reported threshold and the rank of a probe.
_PROBE_MARGIN = 0.2
#: Seconds after which a probe without a reply counts as lost.  Most runs are shorter;
#: a longer one only lets a second probe pass.
_PROBE_TIMEOUT_SECONDS = 1.0


class ThresholdCache:
    """Keeps the last threshold of each operation and instance, and lets it expire.

    Explanation
    ===========

    A reply carries the lower of the gate's own threshold and the thresholds of the
    services that the operation calls.  This node sheds what the instance would shed,
    before any work is done.  A threshold is used unchanged for a short time and then
    rises: if every request for a gate is shed early, the gate sends no replies, and its
    last threshold would otherwise hold for ever.

    After an overload few requests pass, so few replies report that the gate has
    opened.  A request just above the reported threshold, or below the value that it
    has risen to, may therefore pass as a probe.  There is one outstanding probe for
    each entry, and the next is sent only after its reply or its timeout.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    fresh : float
        Seconds for which a threshold is used unchanged.
    rise : float
        Ranks by which a stale threshold rises each second.
    probe_after : float
        Seconds since the last reply or probe after which a probe may pass.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> thresholds = ThresholdCache(clock)
    >>> thresholds.update("donors/search", "w1", 2.0)
    >>> thresholds.threshold("donors/search", "w1")
    2.0
    >>> clock.advance(60)
    >>> thresholds.threshold("donors/search", "w1")
    5.0
    """

    #: Bound on memory: operations come from URLs, and instances come and go.
    MAX_ENTRIES = 20_000

    def __init__(
        self,
        clock: Clock,
        fresh: float = 1.0,
        rise: float = 0.5,
        probe_after: float = 0.4,
    ) -> None:
        self._clock = clock
        self._fresh = fresh
        self._rise = rise
        self._probe_after = probe_after
        #: Time of the last probe, by operation and instance.
        self._probed_at: dict[tuple[str, str], float] = {}
        #: Reported threshold and time of the report, by operation and instance.
        self._entries: dict[tuple[str, str], tuple[float, float]] = {}
        #: Number of entries by operation; most operations have none.
        self._instance_counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def update(self, operation: str, instance: str, threshold: float) -> None:
        """Store the threshold that came with a reply."""
        if threshold >= _OPEN and not self._entries:
            return
        key = (operation, instance)
        if threshold >= _OPEN:
            if key in self._entries:
                self._drop(key)
                self._probed_at.pop(key, None)
            return
        if key in self._entries:
            self._drop(key)
        elif len(self._entries) >= self.MAX_ENTRIES:
            oldest = next(iter(self._entries))
            self._drop(oldest)
            self._probed_at.pop(oldest, None)
        self._entries[key] = (threshold, self._clock.now())
        self._instance_counts[operation] = self._instance_counts.get(operation, 0) + 1

    def threshold(self, operation: str, instance: str) -> float:
        """Return the rank from which the instance is expected to shed the operation."""
        entry = self._entries.get((operation, instance))
        if entry is None:
            return _OPEN
        reported, reported_at = entry
        stale_for = self._clock.now() - reported_at - self._fresh
        return (
            reported
            if stale_for <= 0
            else min(_OPEN, reported + stale_for * self._rise)
        )

    def has_entries(self, operation: str) -> bool:
        """Return whether any instance has a threshold for the operation."""
        return operation in self._instance_counts

    def last_reported(self, operation: str, instance: str) -> float:
        """Return the threshold as reported; all ranks pass once it has expired."""
        entry = self._entries.get((operation, instance))
        if entry is None or self.threshold(operation, instance) >= _OPEN:
            return _OPEN
        return entry[0]

    def threshold_and_age(
        self, operation: str, instance: str
    ) -> tuple[float, float] | None:
        """Return the last reported threshold and its age in seconds, or None."""
        entry = self._entries.get((operation, instance))
        if entry is None:
            return None
        reported, reported_at = entry
        return round(reported, 3), round(self._clock.now() - reported_at, 3)

    def allow_probe(self, operation: str, instance: str, rank: float) -> bool:
        """Return whether a request may pass as a probe; if so, record the probe."""
        key = (operation, instance)
        entry = self._entries.get(key)
        if entry is None:
            return True
        reported, reported_at = entry
        if rank > max(reported + _PROBE_MARGIN, self.threshold(operation, instance)):
            return False
        now = self._clock.now()
        probed_at = self._probed_at.get(key, 0.0)
        outstanding = probed_at > reported_at
        if now - max(reported_at, probed_at) < (
            _PROBE_TIMEOUT_SECONDS if outstanding else self._probe_after
        ):
            return False
        self._probed_at[key] = now
        return True

    def _drop(self, key: tuple[str, str]) -> None:
        del self._entries[key]
        operation = key[0]
        count = self._instance_counts[operation] - 1
        if count:
            self._instance_counts[operation] = count
        else:
            del self._instance_counts[operation]
