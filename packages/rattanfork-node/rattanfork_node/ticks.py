"""Ticks at which the periodic tasks of a node wake up together."""

import asyncio
from math import floor
from random import random

#: Interval between two ticks.
TICK_SECONDS = 0.1
#: Share of a tick by which a timer may fire early and still count as this tick.  The
#: event loop rounds delays to milliseconds.
_EARLY_SHARE = 0.05
#: Offset of this process's ticks, so that the nodes of a fleet don't all send at once.
_PHASE_SECONDS = random() * TICK_SECONDS


async def sleep_ticks(count: int) -> None:
    """Sleep until the given number of ticks have begun.

    Explanation
    ===========

    Each wakeup of an idle node costs a few tenths of a millisecond, since its code and
    data have left the processor's caches.  Tasks that sleep until the same tick share
    one wakeup.

    Parameters
    ==========

    count : int
        Number of ticks; at least 1.
    """
    now = asyncio.get_running_loop().time()
    current = floor((now - _PHASE_SECONDS) / TICK_SECONDS + _EARLY_SHARE)
    wake_at = _PHASE_SECONDS + (current + count) * TICK_SECONDS
    await asyncio.sleep(wake_at - now)
