"""Finds out that an upstream has ended, and what was under way there."""

import asyncio
from collections.abc import Callable, Iterable

from rattanfork_core.quarantine import CrashWitness

from rattanfork_node.http1 import UpstreamPool

#: Seconds before each look at the upstream, from a lost answer on: the resets of all
#: its connections arrive together, and its address may take new ones a moment longer.
_PAUSES = (0.005, 0.015, 0.06)


class CrashDetector:
    """Tells an upstream that has ended from one that only dropped a connection.

    Explanation
    ===========

    An upstream that drops a connection still has others, or takes new ones.  One that
    has ended has lost all at once and takes none.

    Parameters
    ==========

    witness : CrashWitness
        Knows what was under way.
    on_crash : callable
        Gets the fingerprints of the requests that may have ended the upstream.
    """

    def __init__(
        self, witness: CrashWitness, on_crash: Callable[[frozenset[int]], None]
    ) -> None:
        self._witness = witness
        self._on_crash = on_crash
        self._pool: UpstreamPool | None = None
        self._task: asyncio.Task | None = None
        self._crashed = False

    def watch(self, pool: UpstreamPool) -> None:
        """Begin anew, with the connections to another incarnation."""
        self.close()
        self._pool = pool
        self._crashed = False

    def on_lost(self, fingerprint: int) -> None:
        """Take note that the connection of a run ended without an answer."""
        self._witness.on_lost(fingerprint)
        looking = self._task is not None and not self._task.done()
        if self._pool is not None and not looking and not self._crashed:
            self._task = asyncio.ensure_future(self._look(self._pool))

    def on_replaced(self, under_way: Iterable[int]) -> None:
        """Take note that another incarnation answers in the place of this one."""
        if not self._crashed:
            self._conclude(under_way)

    def close(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _look(self, pool: UpstreamPool) -> None:
        for pause in _PAUSES:
            await asyncio.sleep(pause)
            if not pool.open and not await pool.accepts():
                self._conclude(())
                return

    def _conclude(self, under_way: Iterable[int]) -> None:
        self._crashed = True
        self._on_crash(self._witness.on_ended(under_way))
