"""Event loop in simulated time, for tests of many seconds of traffic."""

import asyncio
import selectors
from collections.abc import Callable

from rattanfork_core.clock import Clock


class _TimeJumpSelector(selectors.SelectSelector):
    """Selector that advances simulated time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advance the time; report no file as ready."""
        if timeout is None:
            raise RuntimeError("nothing is scheduled: the simulation would never end")
        self.now += max(timeout, 0.0)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers fire without waiting, in order of their time.

    Parameters
    ==========

    accept : callable
        Returns the transport of a new connection for its protocol.
    connect_s : float
        Seconds that connecting takes.
    """

    def __init__(
        self,
        accept: Callable[[asyncio.Protocol], asyncio.Transport],
        connect_s: float = 0.001,
    ) -> None:
        self._time_selector = _TimeJumpSelector()
        super().__init__(self._time_selector)
        self._accept = accept
        self._connect_s = connect_s

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._time_selector.now

    async def create_connection(self, protocol_factory, host=None, port=None, **_):
        """Connect a protocol to the simulated upstream."""
        await asyncio.sleep(self._connect_s)
        protocol = protocol_factory()
        transport = self._accept(protocol)
        protocol.connection_made(transport)
        # The caller learns of the connection in the next iteration of a real loop too.
        await asyncio.sleep(0)
        return transport, protocol


class LoopClock(Clock):
    """Clock that shows the time of an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        """Return the time of the loop in seconds."""
        return self._loop.time()
