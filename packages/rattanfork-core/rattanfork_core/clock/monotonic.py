"""The clock of a running process."""

import time

from rattanfork_core.clock.clock import Clock


class MonotonicClock(Clock):
    """Monotonic time of the operating system.

    Examples
    ========

    >>> clock = MonotonicClock()
    >>> clock.now() <= clock.now()
    True
    """

    # Bound once: this is read several times per request.
    now = staticmethod(time.monotonic)  # type: ignore[assignment]
