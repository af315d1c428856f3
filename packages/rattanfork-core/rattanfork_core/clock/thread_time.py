"""Processor time of the current thread."""

import time

from rattanfork_core.clock.clock import Clock


class ThreadTimeClock(Clock):
    """Seconds for which the current thread has run on a processor.

    Examples
    ========

    >>> clock = ThreadTimeClock()
    >>> clock.now() <= clock.now()
    True
    """

    def now(self) -> float:
        """Return the processor time in seconds."""
        return time.thread_time()
