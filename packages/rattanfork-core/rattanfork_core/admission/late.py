"""The threshold for runs whose deeper calls come too late."""

from math import floor

from rattanfork_core.clock import Clock
from rattanfork_core.request.importance import RANKS

#: Ranks by which one late call lowers the threshold: a fiftieth of a class.
_STEP = 0.02
#: Ranks by which it rises in a second.  Together with the step: at a gate with
#: a hundred runs a second the threshold settles where one in twenty is late.
_RISE = 0.1
#: Seconds without a late call after which it rises faster, and how fast.
_QUIET = 1.0
_RISE_QUIET = 0.5
#: Some requests must pass, or nobody would notice that there is room again.
_LEAST_CUT = 0.05


class LateCut:
    """The rank from which runs of one operation are shed for late calls.

    Explanation
    ===========

    The pattern: all instances of a deep service are full, and runs of the
    service above call it several times in a row.  Each call gets through the
    queue in time, but the time of the run does not do for all of them: runs
    end unfinished, and what they used is lost.  The deep service sees nothing
    wrong, for its queue is no longer than it may be; and it must not shed
    more, since what calls it once is served well behind that queue.

    So the service above sheds the runs themselves.  Each that ends for a late
    call lowers the threshold of its operation by a step, never below its own
    rank: the deep queue is in order of rank, so those of lower rank fare
    better.  It rises steadily in between.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> cut = LateCut(clock)
    >>> cut.value
    5.0
    >>> cut.on_late(2.5)
    >>> round(cut.value, 2)
    2.98
    >>> clock.advance(0.5)
    >>> round(cut.value, 2)
    3.03
    """

    __slots__ = ("_clock", "_last_late", "_then", "_value")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._value = float(RANKS)
        self._last_late = self._then = clock.now()

    @property
    def value(self) -> float:
        """Runs of this rank or above are shed."""
        if self._value < RANKS:
            self._move()
        return self._value

    def on_late(self, rank: float) -> None:
        """Take note that a run of a rank fails for a call that came too late."""
        self._move()
        self._last_late = self._then
        # From where all of its class is taken: what is less important is not
        # what this operation is asked for.
        start = min(self._value, floor(rank) + 1.0)
        self._value = max(_LEAST_CUT, rank, start - _STEP)

    def _move(self) -> None:
        now = self._clock.now()
        passed, then, self._then = now - self._then, self._then, now
        quiet = min(passed, max(0.0, now - max(then, self._last_late + _QUIET)))
        risen = _RISE * (passed - quiet) + _RISE_QUIET * quiet
        self._value = min(float(RANKS), self._value + risen)
