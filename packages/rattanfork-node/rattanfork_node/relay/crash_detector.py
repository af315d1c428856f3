"""Route path: detects upstream crashes and the requests that may cause them."""

import asyncio
from collections.abc import Callable, Iterable

from rattanfork_core.quarantine import SuspectTracker, incarnation_hash
from rattanfork_core.request import format_fingerprint

from rattanfork_node.http1 import UpstreamPool
from rattanfork_node.relay.upstream import Upstream
from rattanfork_node.telemetry import Counters, log_change

#: Delays before each probe of the upstream after a lost connection.  The resets of
#: all connections of a crashed process arrive together, but its listening port may
#: accept connections for a moment longer.
_PROBE_DELAYS_S = (0.005, 0.015, 0.06)
#: Bounds the fingerprints on the log line of a crash.
_MAX_LOGGED_FINGERPRINTS = 32


class CrashDetector:
    """Distinguishes a crashed upstream from one that closed a connection.

    Explanation
    ===========

    An upstream that closes a single connection still has others open or accepts new
    ones.  After a crash, all connections are gone and new ones are refused.

    Parameters
    ==========

    tracker : SuspectTracker
        Tracks the requests that were in flight shortly before a crash.
    counters : Counters
        Counts crashes.
    on_crash : callable
        Called with the hash of the crashed incarnation and the fingerprints of the
        requests that may have caused the crash.
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
        """Start watching an incarnation and the connections to it."""
        self.close()
        self._pool = pool
        self._upstream = upstream
        self._crashed = False

    def on_lost(self, fingerprint: int) -> None:
        """Record that the connection of a run closed without a response."""
        self._tracker.on_lost(fingerprint)
        probing = self._task is not None and not self._task.done()
        if self._pool is not None and not probing and not self._crashed:
            self._task = asyncio.ensure_future(self._probe(self._pool))

    def on_replaced(self, in_flight: Iterable[int]) -> None:
        """Record that another incarnation has replaced the watched one."""
        if not self._crashed:
            self._report_crash(in_flight)

    def close(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _probe(self, pool: UpstreamPool) -> None:
        for delay in _PROBE_DELAYS_S:
            await asyncio.sleep(delay)
            if not pool.settled_connections and not await pool.can_connect():
                self._report_crash(())
                return

    def _report_crash(self, in_flight: Iterable[int]) -> None:
        self._crashed = True
        suspects = self._tracker.on_crash(in_flight)
        upstream = self._upstream
        self._counters.events["gate.upstream-crashed"] += 1
        log_change(
            "upstream_crashed",
            upstream=upstream.name,
            suspects=len(suspects),
            fingerprints=[
                format_fingerprint(f)
                for f in sorted(suspects)[:_MAX_LOGGED_FINGERPRINTS]
            ],
        )
        if suspects:
            self.on_crash(incarnation_hash(upstream.name, upstream.born), suspects)
