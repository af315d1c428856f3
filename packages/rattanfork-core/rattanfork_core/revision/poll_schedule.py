"""Schedule of periodic requests for newer rules, to the store or to peers."""

from random import Random

from rattanfork_core.clock import Clock


class PollSchedule:
    """Schedules the periodic requests of one node, at most one at a time.

    Explanation
    ===========

    Each failure doubles the pause, up to a limit and with jitter.  So the nodes of
    the fleet neither overload a store that is recovering nor poll it in step.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of the jitter.
    interval : float
        Seconds between requests that succeed.
    max_interval : float
        Maximum seconds between requests while they fail.

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
        self._max_interval = max_interval
        self._pause = interval
        self._next_at = clock.now()
        self._in_progress = False
        #: Whether another request was made due while one was in progress.
        self._requested_again = False

    def due(self) -> bool:
        """Return whether to send a request now."""
        return not self._in_progress and self._clock.now() >= self._next_at

    def begin(self) -> None:
        """Record that a request was sent."""
        self._in_progress = True

    def end(self, succeeded: bool) -> None:
        """Record whether the request succeeded, and schedule the next one."""
        self._in_progress = False
        if succeeded:
            self._pause = self._interval
        else:
            self._pause = min(self._max_interval, 2 * self._pause)
        self._next_at = self._clock.now() + self._pause * self._random.uniform(0.8, 1.2)
        if succeeded and self._requested_again:
            self._next_at = self._clock.now()
        self._requested_again = False

    def schedule_now(self) -> None:
        """Make the next request due now, or as soon as the one in progress succeeds."""
        self._requested_again = self._in_progress
        self._next_at = min(self._next_at, self._clock.now())
