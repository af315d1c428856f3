"""Keeps the ordered rules of a node up to date by watching the store."""

import asyncio
from collections.abc import Callable
from random import Random

import orjson
from rattanfork_core.membership import Member, Membership
from rattanfork_core.revision import RevisionState, RulesRecord
from rattanfork_core.revision.record import HEAD_KEY, history_key
from rattanfork_platform import (
    PlatformDownError,
    Row,
    Rows,
    WatchedPlatform,
)

from rattanfork_node.config.follower import Follower
from rattanfork_node.config.peer_choice import PeerChoice
from rattanfork_node.config.row_watch import RowWatch
from rattanfork_node.peer import LinkLostError, PeerPool
from rattanfork_node.telemetry import Counters, log_change

_TABLE, _, _HEAD = HEAD_KEY.partition("/")
#: Seconds for which one watch of the store waits; rules change seldom.
_WATCH_WAIT = 28.0
#: Seconds between tries while the store does not answer, and between questions
#: to peers meanwhile.
_PAUSE = 0.5
#: Seconds between questions to peers of a node that knows no rules yet; the word of
#: two data centres is needed, so some questions are.
_FRESH_PAUSE = 0.15
_ASK_TIMEOUT = 0.6


class RulesWatcher(Follower):
    """Learns accepted rules by a watch of the store, or from peers without it.

    Parameters
    ==========

    random : Random
        Source of choices and jitter.
    state : RevisionState
        The rules in force.
    platform : WatchedPlatform
        The store.
    membership : Membership
        Who is there.
    pool : PeerPool
        Connections to other nodes.
    counters : Counters
        What happened.
    newest : callable
        Returns the highest revision heard of on datagrams.
    teller : callable
        Returns who told of it last.
    on_duty : callable
        Whether this node watches the store now.
    """

    def __init__(
        self,
        random: Random,
        state: RevisionState,
        platform: WatchedPlatform,
        membership: Membership,
        pool: PeerPool,
        counters: Counters,
        newest: Callable[[], int] = lambda: 0,
        teller: Callable[[], Member | None] = lambda: None,
        on_duty: Callable[[], bool] = lambda: True,
    ) -> None:
        self._random = random
        self._state = state
        self._platform = platform
        self._membership = membership
        self._peers = PeerChoice(random, membership)
        self._pool = pool
        self._counters = counters
        self._newest = newest
        self._teller = teller
        self._watch = RowWatch(platform, _TABLE, _HEAD, _WATCH_WAIT, on_duty)
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begin."""
        self._tasks = [
            asyncio.ensure_future(self._follow()),
            asyncio.ensure_future(self._follow_peers()),
        ]

    def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()

    @property
    def behind(self) -> bool:
        """Whether another node holds something newer."""
        return self._newest() > self._state.order

    async def look(self, store_version: int) -> int:
        """Ask the store whether it holds something newer; take it if so."""
        if store_version and self._watch.known >= store_version:
            return self._watch.known
        if await self._take(await self._watch.look()):
            self._watch.overtaken()
        return self._watch.known

    async def _follow(self) -> None:
        while True:
            try:
                rows = await self._watch.next()
                if rows is not None:
                    await self._take(rows)
            except PlatformDownError:
                self._counters.events["rules.store-unanswered"] += 1
                await self._ask_peer()
                await asyncio.sleep(_PAUSE * self._random.uniform(0.7, 1.3))

    async def _follow_peers(self) -> None:
        while True:
            # A fresh node takes no work before it knows the rules, and a silent
            # store takes over a second to be known for it.
            fresh = not self._state.ready
            pause = _FRESH_PAUSE if fresh else _PAUSE
            await asyncio.sleep(pause * self._random.uniform(0.7, 1.3))
            if self.behind or not self._state.ready:
                await self._ask_peer()

    async def _take(self, rows: Rows) -> bool:
        head = rows.rows.get(_HEAD)
        if head is None:
            self._state.receive_from_store(None)
            return False
        newest = self._read_record(head.value)
        if newest is None:
            # Written by somebody else: what is in force stays, and a node that
            # starts serves by the routes instead of waiting for ever.
            self._state.receive_from_store(None)
            return False
        if newest.order <= self._state.order:
            self._state.receive_from_store(None)
            return False
        key = history_key(newest.revision)
        text: Row | None = rows.rows.get(key.partition("/")[2])
        if text is None:
            text = await self._platform.read(key)
        record = self._read_record(text.value)
        return record is not None and self._offer("store", record)

    def _read_record(self, value: object) -> RulesRecord | None:
        """Return the record of a row's value, or None if it holds none."""
        try:
            fields = orjson.loads(value) if isinstance(value, bytes) else value
            return RulesRecord.from_row(fields)
        except ValueError as error:
            self._note_malformed("store", error)
            return None

    def _note_malformed(self, source: str, error: ValueError) -> None:
        self._counters.events["rules.malformed"] += 1
        log_change("rules_malformed", source=source, error=str(error))

    async def _ask_peer(self) -> None:
        member = self._peers.next(self._teller())
        if member is None:
            return
        try:
            async with asyncio.timeout(_ASK_TIMEOUT):
                centre, reply = await self._pool.ask_rules(
                    (member.host, member.peer_port), self._state.order
                )
        except (LinkLostError, TimeoutError):
            self._counters.events["rules.peer-lost"] += 1
            return
        if not reply.ready:
            return
        record = None
        if reply.text:
            record = RulesRecord(
                reply.revision,
                reply.operation,
                reply.author,
                reply.comment,
                reply.text,
                reply.era,
            )
        if self._offer("peer", record, centre):
            self._watch.overtaken()

    def _offer(
        self, source: str, record: RulesRecord | None, data_centre: str = ""
    ) -> bool:
        try:
            if source == "store":
                changed = self._state.receive_from_store(record)
            else:
                changed = self._state.receive_from_peer(data_centre, record)
        except ValueError as error:
            self._note_malformed(source, error)
            return False
        if changed:
            log_change("rules_in_force", revision=self._state.revision, source=source)
            self._membership.schedule_push()
        return changed
