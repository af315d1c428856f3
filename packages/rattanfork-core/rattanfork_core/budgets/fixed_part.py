"""One gate's part of the fixed number of retries to its service."""

from collections.abc import Iterator

from rattanfork_core.clock import Clock
from rattanfork_core.quota.windowed_maximum import WindowedMaximum

#: Fraction of the part that may be used at once.  The rest accrues over a window.
_BURST_SHARE = 1 / 3
#: Seconds for which the number of gates is remembered: longer than a partition lasts
#: that leaves a gate with few others in sight.
_GATE_COUNT_SECONDS = 3600.0


class FixedPart:
    """Retries that one gate may grant in each span without requests that pay for them.

    Explanation
    ===========

    The fixed number of a window is divided by the number of gates.  Each part belongs
    to an instance, whichever process is its gate: a gate that restarts must not grant
    what its predecessor may have granted in the same window, and it does not know
    what that was.  Of a part, a third may therefore be used at once, and the rest
    accrues evenly over a window.  A gate that is younger than a window has only what
    has accrued since its start, which its predecessor can't have used, and all gates
    of an instance together stay within the part however often they restart.

    Spans are whole buckets of a sliding window.  The part accrues a little slower than
    it could, as the first and the last bucket of a span are not full.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    extra : float
        Fixed number of retries in a window, over all gates.
    spans : int
        Number of buckets of the longest span, which covers a window.
    bucket_seconds : float
        Length of a bucket, in seconds.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> part = FixedPart(clock, extra=36.0, spans=11, bucket_seconds=1.0)
    >>> part.set_gate_count(ready=1, recorded=2)
    >>> clock.advance(3.0)
    >>> [round(allowed, 1) for allowed in part.by_span()][:3]
    [3.0, 3.0, 3.0]
    >>> clock.advance(9.0)
    >>> [round(allowed, 1) for allowed in part.by_span()][:3]
    [7.0, 8.0, 9.0]
    """

    __slots__ = (
        "_bucket_seconds",
        "_clock",
        "_created_at",
        "_extra",
        "_gate_count",
        "_recorded",
        "_spans",
    )

    def __init__(
        self, clock: Clock, extra: float, spans: int, bucket_seconds: float
    ) -> None:
        self._clock = clock
        self._extra = extra
        self._spans = spans
        self._bucket_seconds = bucket_seconds
        self._created_at = clock.now()
        #: Highest recent number of ready gates; None until they have been counted.
        self._gate_count: WindowedMaximum | None = None
        self._recorded = 0

    @property
    def age(self) -> float:
        """Seconds since the gate started."""
        return self._clock.now() - self._created_at

    @property
    def gates(self) -> int:
        """Number of gates that share the fixed number; 0 while unknown."""
        if self._gate_count is None:
            return 0
        return max(self._gate_count.value, self._recorded)

    def set_gate_count(self, ready: int, recorded: int) -> None:
        """Set the number of gates.

        It must not be called before the gates are known: a gate that has seen no
        others takes the parts of all.

        Parameters
        ==========

        ready : int
            Gates that are ready.  The highest recent number counts.
        recorded : int
            Gates that are recorded as members, ready or not: after a restart of many
            of them, few are ready.  Only the current number counts, as records of
            gates that are gone for good disappear late.
        """
        ready = max(1, ready)
        if self._gate_count is None:
            self._gate_count = WindowedMaximum(self._clock, _GATE_COUNT_SECONDS, ready)
        else:
            self._gate_count.update(ready)
        self._recorded = recorded

    def by_span(self) -> Iterator[float]:
        """Return the allowed retries of each span that ends now, shortest first."""
        gates = self.gates
        if not gates:
            yield from [0.0] * self._spans
            return
        part = self._extra / gates
        burst = part * _BURST_SHARE
        per_bucket = (part - burst) / (self._spans + 1)
        limit = part
        age_in_buckets = self.age / self._bucket_seconds
        if age_in_buckets < self._spans:
            limit = per_bucket * age_in_buckets
        for span in range(1, self._spans + 1):
            yield min(burst + per_bucket * span, limit)
