"""The operating system's monotonic clock."""

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

    # Bound directly to avoid a Python call; it is read several times per request.
    now = staticmethod(time.monotonic)  # type: ignore[assignment]
