"""Writes retirements of upstreams to the store, through peers if need be."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from rattanfork_core.retirement import Retirement, RetirementTable
from rattanfork_platform import PlatformDownError, WatchedPlatform

from rattanfork_node.member.records import retirement_key
from rattanfork_node.telemetry import Counters

#: Time after which a peer is asked to write what the store has not confirmed.  The
#: store may refuse or not reach this node while it serves others.
_PEER_AFTER_S = 0.2
#: Bounds of the exponential back-off while nobody can write.
_MIN_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 1.0


class RetirementWriter:
    """Writes each retirement until the store holds it.

    Parameters
    ==========

    random : Random
        Source of jitter.
    platform : WatchedPlatform
        The store.
    request_peer_write : callable
        Coroutine function that lets a peer write a retirement; returns whether the
        store holds it.
    counters : Counters
        Counts who wrote.
    """

    def __init__(
        self,
        random: Random,
        platform: WatchedPlatform,
        request_peer_write: Callable[[Retirement], Awaitable[bool]],
        counters: Counters,
    ) -> None:
        self._random = random
        self._platform = platform
        self._request_peer_write = request_peer_write
        self._counters = counters
        self._stored = RetirementTable()
        #: Era of the store that holds them.
        self._era = 0
        self._tasks: dict[Retirement, asyncio.Task] = {}

    def is_stored(self, retirement: Retirement) -> bool:
        """Return whether the store is known to hold a retirement.

        Nothing is known of a store that was restored from an older copy since.
        """
        if self._platform.era != self._era:
            if self._era:
                self._stored = RetirementTable()
            self._era = self._platform.era
        return self._stored.covers(retirement)

    def mark_stored(self, retirement: Retirement) -> None:
        """Record that the store holds a retirement."""
        self._stored.add(retirement)

    def start(self, retirement: Retirement) -> None:
        """Start writing a retirement, unless it is stored or being written."""
        if self.is_stored(retirement) or retirement in self._tasks:
            return
        task = asyncio.ensure_future(self._write_until_stored(retirement))
        self._tasks[retirement] = task
        task.add_done_callback(lambda _: self._tasks.pop(retirement, None))

    async def wait(self, retirement: Retirement, timeout: float) -> bool:
        """Wait at most ``timeout`` seconds until a retirement is stored.

        Returns
        =======

        bool
            Whether it is.
        """
        self.start(retirement)
        task = self._tasks.get(retirement)
        if task is not None:
            await asyncio.wait((task,), timeout=timeout)
        return self.is_stored(retirement)

    async def write(self, retirement: Retirement) -> bool:
        """Write a retirement once; return whether the store has confirmed it."""
        if self.is_stored(retirement):
            return True
        try:
            await self.write_all([retirement])
        except PlatformDownError:
            return False
        return True

    async def write_all(self, retirements: list[Retirement]) -> None:
        """Write retirements in one transaction, whether or not they are stored.

        Raises
        ======

        PlatformDownError
            If the store does not answer, or was restored meanwhile.
        """
        rows = {retirement_key(entry): list(entry) for entry in retirements}
        era = self._platform.era
        await self._platform.transact({}, rows)
        if era and self._platform.era != era:
            raise PlatformDownError("store restored during the write")
        for entry in retirements:
            self.mark_stored(entry)

    def close(self) -> None:
        """Cancel all writes."""
        for task in self._tasks.values():
            task.cancel()

    async def _write_until_stored(self, retirement: Retirement) -> None:
        delay = _MIN_RETRY_DELAY_S
        while not await self._write_by_anyone(retirement):
            await asyncio.sleep(delay * self._random.uniform(0.7, 1.3))
            delay = min(_MAX_RETRY_DELAY_S, 2 * delay)
        self.mark_stored(retirement)

    async def _write_by_anyone(self, retirement: Retirement) -> bool:
        """Write to the store, and through a peer if that takes too long or fails."""
        own = asyncio.ensure_future(self.write(retirement))
        await asyncio.wait((own,), timeout=_PEER_AFTER_S)
        if own.done() and own.result():
            self._counters.events["retirement.stored"] += 1
            return True
        attempts = (own, asyncio.ensure_future(self._request_peer_write(retirement)))
        try:
            for attempt in asyncio.as_completed(attempts):
                if await attempt:
                    self._counters.events["retirement.stored-late"] += 1
                    return True
        finally:
            for attempt in attempts:
                attempt.cancel()
        return False
