"""Follows the rules row of the store, with peers as a fallback."""

import asyncio
from collections.abc import Callable
from random import Random

import orjson
from rattanfork_core.membership import Member, Membership
from rattanfork_core.revision import RevisionState, RulesRecord
from rattanfork_core.revision.record import HEAD_KEY, ROW_FIELDS, history_key
from rattanfork_platform import (
    PlatformDownError,
    Row,
    Rows,
    WatchedPlatform,
)

from rattanfork_node.config.kept_task import keep_running
from rattanfork_node.config.peer_selector import PeerSelector
from rattanfork_node.config.row_watch import RowWatch
from rattanfork_node.config.store_replica import StoreReplica
from rattanfork_node.peer import LinkLostError, PeerPool
from rattanfork_node.telemetry import Counters, log_change

_TABLE, _, _HEAD = HEAD_KEY.partition("/")
#: Longest wait of one watch; rules change rarely.
_WATCH_WAIT_S = 28.0
#: Interval between calls while the store does not answer, and between requests to
#: peers.
_RETRY_INTERVAL_S = 0.5
#: Interval between requests to peers before the first rules are known; shorter, as
#: replies from two data centres are needed.
_INITIAL_POLL_INTERVAL_S = 0.15
_PEER_TIMEOUT_S = 0.6


class RulesWatcher(StoreReplica):
    """Fetches accepted rules by a watch of the store, or from peers.

    Parameters
    ==========

    random : Random
        Source of peer choices and jitter.
    state : RevisionState
        The rules in force.
    platform : WatchedPlatform
        The store.
    membership : Membership
        Membership view of this node.
    pool : PeerPool
        Connections to other nodes.
    counters : Counters
        Event counters.
    newest_revision : callable
        Returns the newest revision order seen in gossip.
    source_of_newest : callable
        Returns the member that last announced it.
    is_watcher : callable
        Returns whether this node currently watches the store.
    """

    def __init__(
        self,
        random: Random,
        state: RevisionState,
        platform: WatchedPlatform,
        membership: Membership,
        pool: PeerPool,
        counters: Counters,
        newest_revision: Callable[[], int] = lambda: 0,
        source_of_newest: Callable[[], Member | None] = lambda: None,
        is_watcher: Callable[[], bool] = lambda: True,
    ) -> None:
        self._random = random
        self._state = state
        self._platform = platform
        self._membership = membership
        self._peers = PeerSelector(random, membership)
        self._pool = pool
        self._counters = counters
        self._newest_revision = newest_revision
        self._source_of_newest = source_of_newest
        self._watch = RowWatch(platform, _TABLE, _HEAD, _WATCH_WAIT_S, is_watcher)
        self._tasks: list[asyncio.Task] = []

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

    @property
    def outdated(self) -> bool:
        """Whether another node holds a newer revision."""
        return self._newest_revision() > self._state.order

    async def refresh(self, store_version: int) -> int:
        """Poll the store and apply newer rules."""
        if store_version and self._watch.known_version >= store_version:
            return self._watch.known_version
        if await self._apply_rows(await self._watch.poll()):
            self._watch.restart()
        return self._watch.known_version

    async def _run_store_watch(self) -> None:
        while True:
            try:
                rows = await self._watch.next_change()
                if rows is not None:
                    await self._apply_rows(rows)
            except PlatformDownError:
                self._counters.events["rules.store-unanswered"] += 1
                await self._fetch_from_peer()
                await asyncio.sleep(_RETRY_INTERVAL_S * self._random.uniform(0.7, 1.3))

    async def _run_peer_polling(self) -> None:
        while True:
            # A node refuses requests until it has rules, and a silent store is
            # detected only after more than a second.
            initial = not self._state.ready
            interval = _INITIAL_POLL_INTERVAL_S if initial else _RETRY_INTERVAL_S
            await asyncio.sleep(interval * self._random.uniform(0.7, 1.3))
            if self.outdated or not self._state.ready:
                await self._fetch_from_peer()

    async def _apply_rows(self, rows: Rows) -> bool:
        head = rows.rows.get(_HEAD)
        if head is None:
            self._state.receive_from_store(None)
            return False
        newest = self._decode_record(head.value)
        if newest is None:
            # Malformed row of another writer: the rules in force stay, and a node
            # that starts serves without rules instead of waiting indefinitely.
            self._state.receive_from_store(None)
            return False
        if newest.order <= self._state.order:
            self._state.receive_from_store(None)
            return False
        key = history_key(newest.revision)
        text: Row | None = rows.rows.get(key.partition("/")[2])
        if text is None:
            text = await self._platform.read(key)
        record = self._decode_record(text.value)
        return record is not None and self._apply_record("store", record)

    def _decode_record(
        self, value: object, source: str = "store"
    ) -> RulesRecord | None:
        """Decode the value of a row; count it and return None if malformed."""
        try:
            fields = orjson.loads(value) if isinstance(value, bytes) else value
            return RulesRecord.from_row(fields)
        except ValueError as error:
            self._report_malformed(source, error)
            return None

    def _report_malformed(self, source: str, error: ValueError) -> None:
        self._counters.events["rules.malformed"] += 1
        log_change("rules_malformed", source=source, error=str(error))

    async def _fetch_from_peer(self) -> None:
        member = self._peers.select(self._source_of_newest())
        if member is None:
            return
        try:
            async with asyncio.timeout(_PEER_TIMEOUT_S):
                data_centre, reply = await self._pool.ask_rules(
                    (member.host, member.peer_port), self._state.order
                )
        except (LinkLostError, TimeoutError):
            self._counters.events["rules.peer-lost"] += 1
            return
        if not reply.ready:
            return
        record = None
        if reply.text:
            fields = {name: getattr(reply, name) for name in ROW_FIELDS}
            record = self._decode_record(fields, "peer")
            if record is None:
                return
        if self._apply_record("peer", record, data_centre):
            self._watch.restart()

    def _apply_record(
        self, source: str, record: RulesRecord | None, data_centre: str = ""
    ) -> bool:
        try:
            if source == "store":
                changed = self._state.receive_from_store(record)
            else:
                changed = self._state.receive_from_peer(data_centre, record)
        except ValueError as error:
            self._report_malformed(source, error)
            return False
        if changed:
            log_change("rules_in_force", revision=self._state.revision, source=source)
            self._membership.schedule_push()
        return changed
