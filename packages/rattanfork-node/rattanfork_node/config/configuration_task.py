"""Keeps the configuration of a node up to date."""

import asyncio
from collections.abc import Callable
from random import Random

from rattanfork_core.clock import BootClock, Clock
from rattanfork_core.membership import Membership
from rattanfork_core.revision import ConfigurationLease
from rattanfork_platform import PlatformDownError, Rows, WatchedPlatform

from rattanfork_node.config.follower import Follower
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.config.peer_choice import PeerChoice
from rattanfork_node.config.row_watch import RowWatch
from rattanfork_node.member import GossipTask
from rattanfork_node.peer import ConfigurationRequest, LinkLostError, PeerPool
from rattanfork_node.telemetry import Counters, log_change

#: Seconds for which one watch of the store waits; each end of a wait is one call.
_WATCH_WAIT = 20.0
#: Seconds between tries while the store does not answer: first and longest.
_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 1.0
#: Seconds between questions to peers while they hold something newer.
_ASK_PAUSE = 0.15
#: Seconds that a peer may take to answer.
_ASK_TIMEOUT = 0.6


class ConfigurationTask(Follower):
    """Learns configurations from the store, and from peers.

    Explanation
    ===========

    A few nodes of each data centre watch the store, so that what a change costs
    there does not grow with the fleet.  The
    version held rides on the datagrams of the membership; a node that hears
    of a newer one than its own asks a peer for it.  So a node that the store
    turns away, or whose watch has gone silent, is behind by a datagram only.
    What all watches have missed is found by who looks in turn.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of choices and jitter.
    holder : ConfigurationHolder
        The configuration in force.
    platform : WatchedPlatform
        The store.
    table, key : str
        The row that holds the configuration.
    membership : Membership
        Who is there.
    member_task : GossipTask
        Hears the versions that others hold.
    pool : PeerPool
        Connections to other nodes.
    counters : Counters
        What happened.
    on_duty : callable
        Whether this node watches the store now.
    lease : ConfigurationLease or None
        Told when the store held nothing newer.
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
        member_task: GossipTask,
        pool: PeerPool,
        counters: Counters,
        on_duty: Callable[[], bool] = lambda: True,
        lease: ConfigurationLease | None = None,
    ) -> None:
        self._clock = clock
        self._random = random
        self._holder = holder
        self._watch = RowWatch(platform, table, key, _WATCH_WAIT, on_duty)
        self._key = key
        self._lease = lease or ConfigurationLease(BootClock())
        self._membership = membership
        self._peers = PeerChoice(random, membership)
        self._member_task = member_task
        self._pool = pool
        self._counters = counters
        self._tasks: list[asyncio.Task] = []
        self._store_answers = True

    @property
    def behind(self) -> bool:
        """Whether another node holds something newer."""
        return self._member_task.newest_configuration > self._holder.version

    async def look(self, store_version: int) -> int:
        """Ask the store whether it holds something newer; take it if so."""
        if store_version and self._watch.known >= store_version:
            return self._watch.known
        asked_at = self._lease.now()
        if self._take(await self._watch.look()):
            self._watch.overtaken()
        self._lease.confirm(asked_at)
        return self._watch.known

    def start(self) -> None:
        """Begin to watch the store and to listen to peers."""
        self._tasks = [
            asyncio.ensure_future(self._follow_store()),
            asyncio.ensure_future(self._follow_peers()),
        ]

    def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()

    async def _follow_store(self) -> None:
        pause = _FIRST_PAUSE
        while True:
            asked_at = self._lease.now()
            try:
                rows = await self._watch.next()
            except PlatformDownError as error:
                self._note_store(False, str(error))
                await asyncio.sleep(pause * self._random.uniform(0.7, 1.3))
                pause = min(_LONGEST_PAUSE, 2 * pause)
                continue
            pause = _FIRST_PAUSE
            if rows is not None:
                self._take(rows)
                self._lease.confirm(asked_at)

    def _take(self, rows: Rows) -> bool:
        self._note_store(True, "")
        row = rows.rows.get(self._key)
        return row is not None and self._offer(row.value, "store")

    async def _follow_peers(self) -> None:
        while True:
            await asyncio.sleep(_ASK_PAUSE * self._random.uniform(0.7, 1.3))
            # A store that answers does so before the first of these; a silent one
            # takes over a second to be known for it, and callers wait meanwhile.
            if self.behind or self._holder.current is None:
                await self._ask_peer()

    async def _ask_peer(self) -> None:
        member = self._peers.next(self._member_task.configuration_source)
        if member is None:
            return
        try:
            async with asyncio.timeout(_ASK_TIMEOUT):
                link = await self._pool.open((member.host, member.peer_port))
                request = ConfigurationRequest(link.next_number(), self._holder.version)
                reply = await link.ask(request)
        except (LinkLostError, TimeoutError):
            self._counters.events["configuration.peer-lost"] += 1
            return
        if reply.document and self._offer(reply.document, "peer"):
            self._watch.overtaken()

    def _offer(self, document: bytes, source: str) -> bool:
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

    def _note_store(self, answers: bool, error: str) -> None:
        if answers == self._store_answers:
            return
        self._store_answers = answers
        if answers:
            log_change("store_regained")
        else:
            log_change("store_lost", error=error)
