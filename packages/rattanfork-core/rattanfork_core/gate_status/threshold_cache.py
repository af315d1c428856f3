"""What this node has heard of other guards' thresholds."""

from rattanfork_core.clock import Clock
from rattanfork_core.request.importance import RANK_LIMIT

_OPEN = float(RANK_LIMIT)
#: How far above the cut, in ranks, a probe may be.
_PROBE_REACH = 0.2
#: Seconds after which a probe without a reply counts as lost.  Most runs take
#: less; a longer one only lets a second probe pass.
_PROBE_TIMEOUT = 1.0


class ThresholdCache:
    """Thresholds by operation and instance, aged.

    Explanation
    ===========

    A reply carries the lower of its guard's own cut and the cuts of the
    deeper services that the operation calls.  This node refuses what the
    instance would refuse, before any work is done.  A hint is believed for
    a short time and then rises: a guard whose every request is refused early
    sends no replies, and its last hint would otherwise hold for ever.

    After a surge few requests pass, so few replies tell that the guard has
    opened.  A request just above the cut, or below what it has risen to, may
    therefore pass as a probe: one at a time for each hint, and the next only
    when the reply was heard.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    fresh : float
        Seconds for which a hint is believed as it is.
    rise : float
        Ranks by which a stale hint rises each second.
    probe_after : float
        Seconds without news or probe after which a probe may pass.

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

    #: Operations come from URLs and instances come and go.
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
        self._probed: dict[tuple[str, str], float] = {}
        self._hints: dict[tuple[str, str], tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._hints)

    def update(self, operation: str, instance: str, cut: float) -> None:
        """Take in the cut that came with a reply."""
        key = (operation, instance)
        if cut >= _OPEN:
            self._hints.pop(key, None)
            self._probed.pop(key, None)
            return
        if len(self._hints) >= self.MAX_ENTRIES and key not in self._hints:
            oldest = next(iter(self._hints))
            del self._hints[oldest]
            self._probed.pop(oldest, None)
        self._hints[key] = (cut, self._clock.now())

    def threshold(self, operation: str, instance: str) -> float:
        """Return the rank from which the instance sheds the operation."""
        hint = self._hints.get((operation, instance))
        if hint is None:
            return _OPEN
        cut, heard = hint
        stale = self._clock.now() - heard - self._fresh
        return cut if stale <= 0 else min(_OPEN, cut + stale * self._rise)

    def last_reported(self, operation: str, instance: str) -> float:
        """Return the cut as it was heard; once it is old, all ranks pass."""
        hint = self._hints.get((operation, instance))
        if hint is None or self.threshold(operation, instance) >= _OPEN:
            return _OPEN
        return hint[0]

    def threshold_and_age(
        self, operation: str, instance: str
    ) -> tuple[float, float] | None:
        """Return the cut that was last heard and its age in seconds, or None."""
        hint = self._hints.get((operation, instance))
        if hint is None:
            return None
        cut, heard = hint
        return round(cut, 3), round(self._clock.now() - heard, 3)

    def allow_probe(self, operation: str, instance: str, rank: float) -> bool:
        """Return whether a request that would be refused may pass now."""
        key = (operation, instance)
        hint = self._hints.get(key)
        if hint is None:
            return True
        cut, heard = hint
        if rank > max(cut + _PROBE_REACH, self.threshold(operation, instance)):
            return False
        now = self._clock.now()
        probed = self._probed.get(key, 0.0)
        awaited = probed > heard
        if now - max(heard, probed) < (
            _PROBE_TIMEOUT if awaited else self._probe_after
        ):
            return False
        self._probed[key] = now
        return True
