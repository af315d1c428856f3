"""A clock that goes on while the machine is suspended."""

import time

from rattanfork_core.clock.clock import Clock

#: Monotonic time stands still in a suspended machine where the system has two
#: such clocks.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class BootTimeClock(Clock):
    """Seconds since the machine started, those in which it was suspended too.

    Examples
    ========

    >>> clock = BootTimeClock()
    >>> clock.now() <= clock.now()
    True
    """

    def now(self) -> float:
        """Return the seconds."""
        return time.clock_gettime(_CLOCK)
