"""The admission threshold that an upstream's node announces to its callers."""

from collections import deque

from rattanfork_core.admission.demand import DemandHistogram
from rattanfork_core.request.importance import RANK_LIMIT

#: Ranks by which the threshold rises in the first tick with mostly idle slots; the
#: step doubles each tick up to the maximum.
_MIN_RISE = 1.0 / 32
_MAX_RISE = 1.0
#: Fraction of the capacity by which a long or short queue moves the threshold in a
#: tick.
_QUEUE_TRIM = 0.03
#: Idle fraction of the slots' time above which the threshold rises.
_SOME_IDLE = 0.03
#: Fraction of the idle capacity that such a rise admits.
_IDLE_GAIN = 0.5
#: Idle fraction above which the threshold rises by steps that double.
_MOSTLY_IDLE = 0.5
#: Bounds of one small adjustment, in ranks.
_MIN_TRIM = 1.0 / 256
_MAX_TRIM = 0.25
#: Fill of the queue below and above which it counts as short and long.
_QUEUE_LOW = 0.25
_QUEUE_HIGH = 0.75
#: Recent arrivals that are checked for a surge.
_SURGE_SAMPLE = 12
#: Arrivals this many times faster than the upstream's throughput are a surge.
_SURGE_FACTOR = 3.0
#: The threshold stays at or above this, so that some requests are always admitted
#: and their responses carry its changes.
_MIN_THRESHOLD = 0.02


class AdmissionThreshold:
    """The rank at and above which requests for one upstream are shed.

    Explanation
    ===========

    The queue alone sheds in the right order, but only after the services earlier in
    the call chain have already worked for the request.  The threshold is announced on
    every response, so that the entry node, which receives the caller's request, can
    refuse it instead.  It has to match the capacity of the upstream: if it is too low,
    slots idle; if it is too high, the earlier services do work for requests that the
    queue then displaces.

    - When the queue displaces a request, the threshold falls to its rank: the queue
      is full of lower ranks, so nothing of that rank or above would be admitted.  If
      the last few arrivals came much faster than the upstream serves, it also falls
      half the way to the rank below which they fit its capacity.  Displacement alone
      would react to a surge only after the earlier services have worked for most of it.
    - While some slots idle, it rises by a part of the unused capacity.
    - While the queue is long or short, it moves by a small fraction of the capacity,
      so that it settles with a queue neither empty nor full.
    - While slots are mostly idle, it rises by steps that double: requests above the
      threshold no longer arrive, so their number is found only by admitting more.

    Parameters
    ==========

    surge_sample : int
        Number of recent arrivals that are checked for a surge.

    Examples
    ========

    >>> threshold = AdmissionThreshold()
    >>> threshold.value
    5.0
    >>> for i in range(100):
    ...     threshold.demand.add(3 + i / 100)
    >>> threshold.on_displaced(3.5, now=1.0, capacity=10.0)
    >>> threshold.value
    3.5
    """

    def __init__(self, surge_sample: int = _SURGE_SAMPLE) -> None:
        self._surge_sample = surge_sample
        self._value = float(RANK_LIMIT)
        self._rise = _MIN_RISE
        self._demand = DemandHistogram()
        self._recent_arrivals: deque[tuple[float, float]] = deque(maxlen=surge_sample)

    @property
    def value(self) -> float:
        """The threshold: requests of this rank or above are shed."""
        return self._value

    @property
    def demand(self) -> DemandHistogram:
        """Histogram of recent arrivals by rank."""
        return self._demand

    def on_arrival(self, rank: float, now: float) -> None:
        """Count an arrival; ``now`` is in seconds."""
        self._demand.add(rank)
        self._recent_arrivals.append((now, rank))

    def on_displaced(self, rank: float, now: float, capacity: float) -> None:
        """Lower the threshold to the rank of a request displaced from the queue.

        Parameters
        ==========

        rank : float
            Rank of the refused request.
        now : float
            The current time, in seconds.
        capacity : float
            Requests that the upstream can complete in a second.
        """
        self._rise = _MIN_RISE
        self._value = min(self._value, rank)
        self.on_pressure(now, capacity)

    def on_pressure(self, now: float, capacity: float) -> None:
        """Lower the threshold if the queue fills because of a surge.

        If the last arrivals came much faster than the upstream can serve, the
        threshold moves half the way to the rank below which they fit its capacity.
        """
        recent = self._recent_arrivals
        if len(recent) == self._surge_sample:
            span = max(1e-3, now - recent[0][0])
            fitting = int(capacity * span)
            if fitting < self._surge_sample / _SURGE_FACTOR:
                ranks = sorted(rank for _, rank in recent)
                self._value = min(self._value, (self._value + ranks[fitting]) / 2)
        self._value = max(_MIN_THRESHOLD, self._value)

    def update(self, capacity: float, queue_fill: float, utilisation: float) -> None:
        """Adapt the threshold to queue and utilisation; called once each tick.

        Parameters
        ==========

        capacity : float
            Requests that the upstream can complete in one tick.
        queue_fill : float
            Length of the queue as a fraction of its bound.
        utilisation : float
            Fraction of the slots' time since the last tick that was in use.
        """
        idle = 1.0 - utilisation
        if idle > _MOSTLY_IDLE:
            self._value += self._rise
            self._rise = min(_MAX_RISE, 2 * self._rise)
        else:
            self._rise = _MIN_RISE
            if idle > _SOME_IDLE:
                self._admit_more(capacity * idle * _IDLE_GAIN)
            elif queue_fill > _QUEUE_HIGH:
                self._admit_more(-capacity * _QUEUE_TRIM)
            elif queue_fill < _QUEUE_LOW:
                self._admit_more(capacity * _QUEUE_TRIM)
        self._value = min(float(RANK_LIMIT), max(_MIN_THRESHOLD, self._value))
        self._demand.age(self._value)

    def _admit_more(self, requests_per_tick: float) -> None:
        """Move the threshold to admit more, or fewer if negative, per tick."""
        demand = self._demand
        count = requests_per_tick / demand.tick_fraction
        if requests_per_tick < 0:
            lowered = demand.rank_at(max(0.0, demand.count_below(self._value) + count))
            self._value = min(self._value - _MIN_TRIM, lowered)
        else:
            rise = demand.rank_above(self._value, count) - self._value
            self._value += min(_MAX_TRIM, max(_MIN_TRIM, rise))
