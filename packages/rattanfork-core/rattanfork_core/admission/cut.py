"""The threshold of shedding that a guard announces."""

from rattanfork_core.admission.demand import DemandHistogram
from rattanfork_core.request.importance import RANKS

#: First and longest step up while the upstream has idle slots, in ranks.
_FIRST_RISE = 1.0 / 32
_LONGEST_RISE = 1.0
#: Share of the capacity by which a full or an empty queue moves the cut.
_TRIM = 0.03
_LEAST_TRIM = 1.0 / 256
_QUEUE_LOW = 0.25
_QUEUE_HIGH = 0.75
#: The cut stays above this, so that there are always replies to learn from.
_LEAST_CUT = 0.02


class ShedCut:
    """The rank from which a guard sheds.

    Explanation
    ===========

    The queue alone sheds in the right order, but only at the guard's door,
    when shallower services have already worked for the request.  The cut is
    announced on every reply so that the first node refuses instead.  It has
    to admit just what the upstream can do: too low and slots idle, too high
    and shallow work is wasted on requests the queue then displaces.

    - When the queue displaces, the cut falls at once to the rank below which
      recent demand fits the capacity.
    - While the queue is long or short, the cut is trimmed by a small share
      of the capacity, so that it settles with a queue neither empty nor full.
    - When slots idle, it rises by steps that double: the demand above the
      cut is not seen here, so its size has to be felt for.

    Examples
    ========

    >>> cut = ShedCut()
    >>> cut.value
    5.0
    >>> for i in range(100):
    ...     cut.demand.add(3 + i / 100)
    >>> cut.update(capacity=5, displaced=5, queue_share=1.0, idle=False)
    >>> 3.4 < cut.value < 3.6
    True
    """

    def __init__(self) -> None:
        self._value = float(RANKS)
        self._rise = _FIRST_RISE
        self._demand = DemandHistogram()

    @property
    def value(self) -> float:
        """Requests of this rank or above are shed."""
        return self._value

    @property
    def demand(self) -> DemandHistogram:
        """Recent arrivals by rank."""
        return self._demand

    def update(
        self, capacity: float, displaced: int, queue_share: float, idle: bool
    ) -> None:
        """Adapt the cut; called once each tick.

        Parameters
        ==========

        capacity : float
            Requests the upstream can finish in one tick.
        displaced : int
            Requests the queue refused for load since the last tick.
        queue_share : float
            Length of the queue as a share of its bound.
        idle : bool
            Whether the upstream has idle slots and nobody waits.
        """
        if displaced:
            self._rise = _FIRST_RISE
            self._fall(capacity)
        elif idle:
            self._value += self._rise
            self._rise = min(_LONGEST_RISE, 2 * self._rise)
        else:
            self._rise = _FIRST_RISE
            if queue_share > _QUEUE_HIGH:
                self._trim(-capacity * _TRIM)
            elif queue_share < _QUEUE_LOW:
                self._trim(capacity * _TRIM)
        self._value = min(float(RANKS), max(_LEAST_CUT, self._value))
        self._demand.age()

    def _fall(self, capacity: float) -> None:
        fits = self._demand.rank_at(capacity / self._demand.per_tick)
        if fits < self._value:
            self._value = fits
        else:
            self._trim(-capacity * _TRIM)

    def _trim(self, per_tick: float) -> None:
        demand = self._demand
        count = demand.below(self._value) + per_tick / demand.per_tick
        if per_tick < 0:
            moved = demand.rank_at(max(0.0, count))
            self._value = min(self._value - _LEAST_TRIM, moved)
        else:
            # Demand above the cut is mostly refused elsewhere and not seen
            # here: its density is taken to be that just below the cut.
            width = 0.25
            near = demand.below(self._value) - demand.below(self._value - width)
            density = max(near / width, 1e-9) * demand.per_tick
            self._value += min(0.25, max(_LEAST_TRIM, per_tick / density))
