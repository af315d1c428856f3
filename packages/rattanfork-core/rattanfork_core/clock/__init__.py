"""Time as an interface, so that every decision can be replayed."""

from rattanfork_core.clock.boot import BootClock
from rattanfork_core.clock.clock import Clock
from rattanfork_core.clock.manual import ManualClock
from rattanfork_core.clock.monotonic import MonotonicClock

__all__ = ["BootClock", "Clock", "ManualClock", "MonotonicClock"]
