"""The interface through which decisions read time."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of monotonic time.

    Explanation
    ===========

    Decisions never read the wall clock: callers' and instances' clocks may
    differ by minutes, and a deadline kept as a wall-clock time would then be
    wrong by as much.  All times inside a process are seconds of one
    monotonic clock; between processes only durations travel.
    """

    @abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary fixed point."""
