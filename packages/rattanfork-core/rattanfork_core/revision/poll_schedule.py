"""When a reader asks the table."""

from random import Random

from rattanfork_core.clock import Clock


class PollSchedule:
    """Spaces the reads of one node; at most one is under way.

    Explanation
    ===========

    When the table is slow or down, each failure doubles the pause up to a
    limit, with jitter, so that the readers of the fleet neither hammer a
    table that is coming back nor do so together.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> schedule = PollSchedule(clock, Random(1), interval=0.5)
    >>> schedule.due()
    True
    >>> schedule.begin(); schedule.due()
    False
    >>> schedule.end(succeeded=True); schedule.due()
    False
    >>> clock.advance(1); schedule.due()
    True
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        interval: float = 0.5,
        max_interval: float = 5.0,
    ) -> None:
        self._clock = clock
        self._random = random
        self._interval = interval
        self._longest = max_interval
        self._pause = interval
        self._next = clock.now()
        self._under_way = False

    def due(self) -> bool:
        """Return whether to read now."""
        return not self._under_way and self._clock.now() >= self._next

    def begin(self) -> None:
        """Take note that a read is under way."""
        self._under_way = True

    def end(self, succeeded: bool) -> None:
        """Take note of how the read ended."""
        self._under_way = False
        if succeeded:
            self._pause = self._interval
        else:
            self._pause = min(self._longest, 2 * self._pause)
        self._next = self._clock.now() + self._pause * self._random.uniform(0.8, 1.2)

    def schedule_now(self) -> None:
        """Read as soon as possible: there is news."""
        self._next = min(self._next, self._clock.now())
