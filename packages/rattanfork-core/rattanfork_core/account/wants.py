"""How many repeats are wanted, by importance."""

from math import exp

from rattanfork_core.clock import Clock
from rattanfork_core.request.importance import RANK_LIMIT

#: Parts of each level of importance that are counted by themselves.
_PER_LEVEL = 16
#: Seconds over which what is wanted is averaged: long against the time between
#: two calls of one run, short against the time for which services refuse.
_MEMORY = 0.7
#: Seconds between two looks at the time that has passed.
_STEP = 0.05


class RepeatWants:
    """Rate of the repeats that are wanted, by rank, averaged over a short time.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> wants = RepeatWants(clock)
    >>> for _ in range(200):
    ...     clock.advance(0.05)
    ...     wants.add(0.5)
    ...     wants.add(2.5)
    >>> round(wants.rank_within(30.0), 1)
    2.5
    """

    __slots__ = ("_clock", "_counts", "_then")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts = [0.0] * (RANK_LIMIT * _PER_LEVEL)
        self._then = clock.now()

    @property
    def seen(self) -> bool:
        """Whether anything was wanted lately."""
        self._fade()
        return any(self._counts)

    def add(self, rank: float) -> None:
        """Count a repeat that is wanted for a request of a rank."""
        self._fade()
        place = min(len(self._counts) - 1, int(rank * _PER_LEVEL))
        self._counts[place] += 1.0 / _MEMORY

    def rank_within(self, rate: float) -> float:
        """Return the rank below which no more than a rate is wanted in a second.

        Within the part that fits in part, ranks are taken to be spread evenly,
        as those of equals are.  A single want always fits: where little is sent,
        one looks like a high rate.
        """
        left = rate + 1.0 / _MEMORY
        for place, wanted in enumerate(self._counts):
            if wanted > left:
                return (place + left / wanted) / _PER_LEVEL
            left -= wanted
        return float(RANK_LIMIT)

    def _fade(self) -> None:
        passed = self._clock.now() - self._then
        if passed < _STEP:
            return
        self._then = self._clock.now()
        kept = exp(-passed / _MEMORY)
        self._counts = [
            count * kept if count * kept > 1e-3 else 0.0 for count in self._counts
        ]
