"""Follows the configuration row of the store, with peers as a fallback."""

import asyncio
from collections.abc import Callable
from random import Random

from rattanfork_core.clock import BootTimeClock, Clock
from rattanfork_core.membership import Membership
from rattanfork_core.revision import ConfigurationLease
from rattanfork_platform import PlatformDownError, Rows, WatchedPlatform

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.config.kept_task import keep_running
from rattanfork_node.config.peer_selector import PeerSelector
from rattanfork_node.config.row_watch import RowWatch
from rattanfork_node.config.store_replica import StoreReplica
from rattanfork_node.member import GossipTask
from rattanfork_node.peer import ConfigurationRequest, LinkLostError, PeerPool
from rattanfork_node.telemetry import Counters, log_change
from rattanfork_node.ticks import sleep_ticks

#: Longest wait of one watch; each wait that expires costs the store one call.
_WATCH_WAIT_S = 20.0
#: Bounds of the exponential back-off while the store does not answer.
_MIN_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 1.0
#: Ticks between requests to peers while a newer version is known to exist.
_PEER_POLL_TICKS = 1
_PEER_TIMEOUT_S = 0.6


class ConfigurationTask(StoreReplica):
    """Fetches new configurations from the store and from peers.

    Explanation
    ===========

    Only a few nodes of each data centre watch the store, so the load of a change
    on the store does not grow with the fleet.  Each gossip message carries the
    version that its sender holds; a node that sees a newer version than its own
    requests the document from a peer.  A node that cannot reach the store, or
    whose watch has stalled, therefore lags by the gossip delay only.  A change
    that every watch missed is found by the periodic polls of
    :class:`ConfirmationTask`.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of peer choices and jitter.
    holder : ConfigurationHolder
        Receives the configurations.
    platform : WatchedPlatform
        The store.
    table, key : str
        Row that holds the configuration.
    membership : Membership
        Membership view of this node.
    gossip_task : GossipTask
        Reports the newest version seen in gossip.
    pool : PeerPool
        Connections to other nodes.
    counters : Counters
        Event counters.
    is_watcher : callable
        Returns whether this node currently watches the store.
    lease : ConfigurationLease or None
        Renewed whenever the store confirms the configuration.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        holder: ConfigurationHolder,
        platform: WatchedPlatform,
        table: str,
        key: str,
        membership: Membership,
        gossip_task: GossipTask,
        pool: PeerPool,
        counters: Counters,
        is_watcher: Callable[[], bool] = lambda: True,
        lease: ConfigurationLease | None = None,
    ) -> None:
        self._clock = clock
        self._random = random
        self._holder = holder
        self._watch = RowWatch(platform, table, key, _WATCH_WAIT_S, is_watcher)
        self._key = key
        self._lease = lease or ConfigurationLease(BootTimeClock())
        self._membership = membership
        self._peers = PeerSelector(random, membership)
        self._gossip_task = gossip_task
        self._pool = pool
        self._counters = counters
        self._tasks: list[asyncio.Task] = []
        self._store_reachable = True

    @property
    def outdated(self) -> bool:
        """Whether another node holds a newer version."""
        return self._gossip_task.newest_configuration > self._holder.version

    async def refresh(self, store_version: int) -> int:
        """Poll the store and apply a newer configuration."""
        if store_version and self._watch.known_version >= store_version:
            return self._watch.known_version
        requested_at = self._lease.now()
        if self._apply_rows(await self._watch.poll()):
            self._watch.restart()
        self._lease.confirm(requested_at)
        return self._watch.known_version

    def start(self) -> None:
        """Start watching the store and polling peers."""
        self._tasks = [
            keep_running(self._run_store_watch, self._counters.events),
            keep_running(self._run_peer_polling, self._counters.events),
        ]

    def close(self) -> None:
        """Cancel the background tasks."""
        for task in self._tasks:
            task.cancel()

    async def _run_store_watch(self) -> None:
        delay = _MIN_RETRY_DELAY_S
        while True:
            requested_at = self._lease.now()
            try:
                rows = await self._watch.next_change()
            except PlatformDownError as error:
                self._set_store_reachable(False, str(error))
                await asyncio.sleep(delay * self._random.uniform(0.7, 1.3))
                delay = min(_MAX_RETRY_DELAY_S, 2 * delay)
                continue
            delay = _MIN_RETRY_DELAY_S
            if rows is not None:
                self._apply_rows(rows)
                self._lease.confirm(requested_at)

    def _apply_rows(self, rows: Rows) -> bool:
        self._set_store_reachable(True, "")
        row = rows.rows.get(self._key)
        return row is not None and self._apply_document(row.value, "store")

    async def _run_peer_polling(self) -> None:
        while True:
            await sleep_ticks(_PEER_POLL_TICKS)
            # A responsive store has answered before the first iteration.  A silent
            # one is detected only after more than a second, during which callers'
            # requests would wait.
            if self.outdated or self._holder.current is None:
                await self._fetch_from_peer()

    async def _fetch_from_peer(self) -> None:
        member = self._peers.select(self._gossip_task.configuration_source)
        if member is None:
            return
        try:
            async with asyncio.timeout(_PEER_TIMEOUT_S):
                link = await self._pool.open((member.host, member.peer_port))
                request = ConfigurationRequest(link.next_number(), self._holder.version)
                reply = await link.ask(request)
        except (LinkLostError, TimeoutError):
            self._counters.events["configuration.peer-lost"] += 1
            return
        if reply.document and self._apply_document(reply.document, "peer"):
            self._watch.restart()

    def _apply_document(self, document: bytes, source: str) -> bool:
        try:
            changed = self._holder.offer(document)
        except ValueError as error:
            self._counters.events["configuration.malformed"] += 1
            log_change("configuration_malformed", source=source, error=str(error))
            return False
        if changed:
            self._counters.events[f"configuration.from-{source}"] += 1
            log_change(
                "configuration_in_force", version=self._holder.version, source=source
            )
            self._membership.schedule_push()
        return changed

    def _set_store_reachable(self, reachable: bool, error: str) -> None:
        if reachable == self._store_reachable:
            return
        self._store_reachable = reachable
        if reachable:
            log_change("store_regained")
        else:
            log_change("store_lost", error=error)
