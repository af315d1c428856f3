"""The threshold of shedding that a guard announces."""

from collections import deque

from rattanfork_core.admission.demand import DemandHistogram
from rattanfork_core.request.importance import RANK_LIMIT

#: First and longest step up while the upstream has idle slots, in ranks.
_FIRST_RISE = 1.0 / 32
_LONGEST_RISE = 1.0
#: Share of the capacity by which a full or an empty queue moves the cut.
_TRIM = 0.03
#: Idle share of the slots' time from which the cut rises, by which part of
#: it, and from which the steps double.
_SOME_IDLE = 0.03
_IDLE_GAIN = 0.5
_MOSTLY_IDLE = 0.5
_LEAST_TRIM = 1.0 / 256
_MOST_TRIM = 0.25
_QUEUE_LOW = 0.25
_QUEUE_HIGH = 0.75
#: Arrivals looked at for a surge, and how much faster than served they come.
_RECENT = 12
_SURGE = 3.0
#: The cut stays above this, so that there are always replies to learn from.
_LEAST_CUT = 0.02


class AdmissionThreshold:
    """The rank from which a guard sheds.

    Explanation
    ===========

    The queue alone sheds in the right order, but only at the guard's door,
    when shallower services have already worked for the request.  The cut is
    announced on every reply so that the first node refuses instead.  It has
    to admit just what the upstream can do: too low and slots idle, too high
    and shallow work is wasted on requests the queue then displaces.

    - When the queue displaces, the cut falls at once to the rank of the
      displaced: all that the queue still holds is of lower rank, so nothing
      from that rank on would get in.  If the last few arrivals came faster
      than the upstream can serve, it falls half the way further to the rank
      below which they would fit: sorting a surge out by displacement alone
      lets shallow services work for most of it first.
    - While some slots idle, it rises by a part of the capacity not used.
    - While the queue is long or short, the cut is trimmed by a small share
      of the capacity, so that it settles with a queue neither empty nor full.
    - When slots mostly idle, it rises by steps that double: the demand above
      the cut is not seen here, so its size has to be felt for.

    Parameters
    ==========

    surge_sample : int
        Arrivals looked at for a surge.

    Examples
    ========

    >>> cut = AdmissionThreshold()
    >>> cut.value
    5.0
    >>> for i in range(100):
    ...     cut.demand.add(3 + i / 100)
    >>> cut.on_displaced(3.5, now=1.0, capacity=10.0)
    >>> cut.value
    3.5
    """

    def __init__(self, surge_sample: int = _RECENT) -> None:
        self._surge_sample = surge_sample
        self._value = float(RANK_LIMIT)
        self._rise = _FIRST_RISE
        self._demand = DemandHistogram()
        self._recent: deque[tuple[float, float]] = deque(maxlen=surge_sample)

    @property
    def value(self) -> float:
        """Requests of this rank or above are shed."""
        return self._value

    @property
    def demand(self) -> DemandHistogram:
        """Recent arrivals by rank."""
        return self._demand

    def on_arrival(self, rank: float, now: float) -> None:
        """Count an arrival at a time in seconds."""
        self._demand.add(rank)
        self._recent.append((now, rank))

    def on_displaced(self, rank: float, now: float, capacity: float) -> None:
        """Take note that the queue had no room for a rank.

        Parameters
        ==========

        rank : float
            What was refused.
        now : float
            The time, in seconds.
        capacity : float
            Requests the upstream can finish in a second.
        """
        self._rise = _FIRST_RISE
        self._value = min(self._value, rank)
        self.on_pressure(now, capacity)

    def on_pressure(self, now: float, capacity: float) -> None:
        """Take note that the queue is filling.

        Moves the cut half the way to the rank below which the last arrivals
        fit, if they come much faster than the upstream can serve.
        """
        recent = self._recent
        if len(recent) == self._surge_sample:
            span = max(1e-3, now - recent[0][0])
            fitting = int(capacity * span)
            if fitting < self._surge_sample / _SURGE:
                ranks = sorted(rank for _, rank in recent)
                self._value = min(self._value, (self._value + ranks[fitting]) / 2)
        self._value = max(_LEAST_CUT, self._value)

    def update(self, capacity: float, queue_share: float, utilisation: float) -> None:
        """Adapt the cut; called once each tick.

        Parameters
        ==========

        capacity : float
            Requests the upstream can finish in one tick.
        queue_share : float
            Length of the queue as a share of its bound.
        utilisation : float
            Share of the slots' time since the last tick that was used.
        """
        idle = 1.0 - utilisation
        if idle > _MOSTLY_IDLE:
            self._value += self._rise
            self._rise = min(_LONGEST_RISE, 2 * self._rise)
        else:
            self._rise = _FIRST_RISE
            if idle > _SOME_IDLE:
                self._trim(capacity * idle * _IDLE_GAIN)
            elif queue_share > _QUEUE_HIGH:
                self._trim(-capacity * _TRIM)
            elif queue_share < _QUEUE_LOW:
                self._trim(capacity * _TRIM)
        self._value = min(float(RANK_LIMIT), max(_LEAST_CUT, self._value))
        self._demand.age(self._value)

    def _trim(self, per_tick: float) -> None:
        demand = self._demand
        count = per_tick / demand.tick_fraction
        if per_tick < 0:
            moved = demand.rank_at(max(0.0, demand.count_below(self._value) + count))
            self._value = min(self._value - _LEAST_TRIM, moved)
        else:
            rise = demand.rank_above(self._value, count) - self._value
            self._value += min(_MOST_TRIM, max(_LEAST_TRIM, rise))
