"""The clock interface."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of monotonic time.

    Explanation
    ===========

    Decisions never use the wall clock: clocks of callers and instances may differ
    by minutes, and a deadline as a wall-clock time would be off by as much.
    Times within a process are seconds of one monotonic clock; only durations are
    sent to other processes.
    """

    @abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary fixed point."""
