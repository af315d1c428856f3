"""Measures how long callbacks keep an event loop from all others."""

import asyncio

from rattanfork_core.clock import ThreadTimeClock


class StallMeter:
    """Runs in each iteration of the event loop, and times what runs in between.

    It measures processor time, which other processes don't change.
    """

    def __init__(self) -> None:
        self._clock = ThreadTimeClock()
        self._loop = asyncio.get_running_loop()
        self._ticked_at = self._clock.now()
        self._handle: asyncio.Handle | None = None
        #: Longest processor time of one iteration so far, in seconds.
        self.longest = 0.0
        self.iterations = 0

    def __enter__(self) -> "StallMeter":
        self._ticked_at = self._clock.now()
        self._handle = self._loop.call_soon(self._tick)
        return self

    def __exit__(self, *failure: object) -> None:
        self._handle.cancel()
        self._record()

    def _tick(self) -> None:
        self._record()
        self._handle = self._loop.call_soon(self._tick)

    def _record(self) -> None:
        now = self._clock.now()
        self.longest = max(self.longest, now - self._ticked_at)
        self._ticked_at = now
        self.iterations += 1
