"""Clock that includes the time in which the machine is suspended."""

import time

from rattanfork_core.clock.clock import Clock

#: On systems with a separate boot-time clock the monotonic clock stops during
#: suspension; the others have one clock only.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class BootTimeClock(Clock):
    """Seconds since the machine started, including time in suspension.

    Examples
    ========

    >>> clock = BootTimeClock()
    >>> clock.now() <= clock.now()
    True
    """

    def now(self) -> float:
        """Return seconds since the machine started."""
        return time.clock_gettime(_CLOCK_ID)
