"""Detects that an upstream has crashed, and which requests may have caused it."""

import asyncio
from collections.abc import Callable, Iterable

from rattanfork_core.quarantine import SuspectTracker, incarnation_hash
from rattanfork_core.request import format_fingerprint

from rattanfork_node.http1 import UpstreamPool
from rattanfork_node.relay.upstream import Upstream
from rattanfork_node.telemetry import Counters, log_change

#: Seconds before each look at the upstream, from a lost answer on: the resets of all
#: its connections arrive together, and its address may take new ones a moment longer.
_PAUSES = (0.005, 0.015, 0.06)
#: Requests named on the line of a crash.
_MOST_LOGGED = 32


class CrashDetector:
    """Distinguishes a crashed upstream from one that only dropped a connection.

    Explanation
    ===========

    An upstream that drops a connection still has others, or takes new ones.  One that
    has crashed has lost all at once and takes none.

    Parameters
    ==========

    tracker : SuspectTracker
        Names the suspects of a crash.
    counters : Counters
        What happened.
    on_crash : callable
        Gets the hash of the incarnation that has crashed, and the fingerprints of the
        requests that may have crashed it.
    """

    def __init__(
        self,
        tracker: SuspectTracker,
        counters: Counters,
        on_crash: Callable[[int, frozenset[int]], None],
    ) -> None:
        self._tracker = tracker
        self._counters = counters
        self.on_crash = on_crash
        self._pool: UpstreamPool | None = None
        self._upstream: Upstream | None = None
        self._task: asyncio.Task | None = None
        self._crashed = False

    def watch(self, pool: UpstreamPool, upstream: Upstream) -> None:
        """Begin anew, with the connections to another incarnation."""
        self.close()
        self._pool = pool
        self._upstream = upstream
        self._crashed = False

    def on_lost(self, fingerprint: int) -> None:
        """Take note that the connection of a run ended without an answer."""
        self._tracker.on_lost(fingerprint)
        looking = self._task is not None and not self._task.done()
        if self._pool is not None and not looking and not self._crashed:
            self._task = asyncio.ensure_future(self._look(self._pool))

    def on_replaced(self, in_flight: Iterable[int]) -> None:
        """Take note that another incarnation answers in the place of this one."""
        if not self._crashed:
            self._conclude(in_flight)

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

    def _conclude(self, in_flight: Iterable[int]) -> None:
        self._crashed = True
        suspects = self._tracker.on_crash(in_flight)
        upstream = self._upstream
        self._counters.events["gate.upstream-crashed"] += 1
        log_change(
            "upstream_crashed",
            upstream=upstream.name,
            suspects=len(suspects),
            fingerprints=[
                format_fingerprint(f) for f in sorted(suspects)[:_MOST_LOGGED]
            ],
        )
        if suspects:
            self.on_crash(incarnation_hash(upstream.name, upstream.born), suspects)
