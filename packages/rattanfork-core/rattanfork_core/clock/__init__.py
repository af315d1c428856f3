"""Clock interface, so that tests can run decisions with simulated time."""

from rattanfork_core.clock.boottime import BootTimeClock
from rattanfork_core.clock.clock import Clock
from rattanfork_core.clock.manual import ManualClock
from rattanfork_core.clock.monotonic import MonotonicClock
from rattanfork_core.clock.thread_time import ThreadTimeClock

__all__ = [
    "BootTimeClock",
    "Clock",
    "ManualClock",
    "MonotonicClock",
    "ThreadTimeClock",
]
