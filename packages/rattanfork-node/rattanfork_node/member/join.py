"""Discovery of other nodes through the store at start-up."""

import asyncio
from collections.abc import Callable
from random import Random

import orjson
from rattanfork_core.membership import Membership
from rattanfork_platform import PlatformDownError, Rows, WatchedPlatform

from rattanfork_node.member.gossip_task import GossipTask
from rattanfork_node.member.records import (
    DEPENDENCIES_ROW,
    MEMBERS_TABLE,
    QUARANTINE_PREFIX,
    RETIREMENT_PREFIX,
    decode_row,
    record_key,
)
from rattanfork_node.telemetry import Counters, log_change

#: Bounds of the exponential back-off while the store does not answer.
_MIN_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 2.0
#: Malformed rows of one scan that get a log line each.
_MAX_LOGGED_ROWS = 16
#: Characters of a key or an error in a log line.
_MAX_LOGGED_CHARACTERS = 200


def _ignore(value: object) -> None:
    pass


def _do_nothing() -> None:
    pass


class JoinTask:
    """Writes the record of this node to the store, then reads those of others.

    Explanation
    ===========

    The store is linearizable.  Of two nodes that start concurrently, the one that
    writes later reads the record of the other and introduces itself by gossip.
    One write and one read are therefore sufficient, and no node has to watch the
    table: later changes spread by gossip.

    The row key is the instance name, so a restarted node replaces its own record.

    Parameters
    ==========

    random : Random
        Source of jitter.
    platform : WatchedPlatform
        The store.
    membership : Membership
        Membership view to populate.
    gossip_task : GossipTask
        Receives the addresses for anti-entropy and introduces this node.
    on_quarantine : callable
        Receives the value of each quarantine row.
    on_dependencies : callable
        Receives the value of the row of dependencies.
    on_retirement : callable
        Receives the value of each row of a retirement.
    on_joined : callable
        Called once this node is recorded and has read all rows.
    counters : Counters or None
        Counts malformed rows as ``row.malformed``.
    """

    def __init__(
        self,
        random: Random,
        platform: WatchedPlatform,
        membership: Membership,
        gossip_task: GossipTask,
        on_quarantine: Callable[[object], None] = _ignore,
        on_dependencies: Callable[[object], None] = _ignore,
        on_retirement: Callable[[object], None] = _ignore,
        on_joined: Callable[[], None] = _do_nothing,
        counters: Counters | None = None,
    ) -> None:
        self._random = random
        self._platform = platform
        self._membership = membership
        self._gossip_task = gossip_task
        self._on_quarantine = on_quarantine
        self._on_dependencies = on_dependencies
        self._on_retirement = on_retirement
        self._on_joined = on_joined
        self._counters = counters or Counters()
        self._task: asyncio.Task | None = None
        self._joined = False

    @property
    def joined(self) -> bool:
        """Whether this node is recorded and has read the other records."""
        return self._joined

    def start(self) -> None:
        """Start joining."""
        self._task = asyncio.ensure_future(self._run())

    def close(self) -> None:
        """Cancel the background task."""
        if self._task is not None:
            self._task.cancel()

    async def leave(self) -> None:
        """Remove the record of this node, if the store answers."""
        try:
            await self._platform.remove(self._row_key())
        except PlatformDownError as error:
            log_change("record_kept", error=str(error))

    async def _run(self) -> None:
        delay = _MIN_RETRY_DELAY_S
        while not self._joined:
            try:
                await self._platform.transact(
                    {}, {self._row_key(): list(self._membership.me)}
                )
                rows = await self._platform.scan(MEMBERS_TABLE)
            except PlatformDownError:
                rows = None
            if rows is not None:
                self._apply_rows(rows)
                # If the store was restored from a backup between the two calls, the
                # record is lost and has to be written again.
                self._joined = self._membership.me.instance in rows.rows
            if not self._joined:
                await asyncio.sleep(delay * self._random.uniform(0.7, 1.3))
                delay = min(_MAX_RETRY_DELAY_S, 2 * delay)
        log_change("joined", members=len(self._membership.members))
        self._on_joined()

    def _apply_rows(self, rows: Rows) -> None:
        me = self._membership.me
        members = []
        malformed: list[tuple[str, Exception]] = []
        # What keeps only the newest of the rows has to get them in their order.
        by_version = sorted(rows.rows.items(), key=lambda item: item[1].version)
        for key, row in by_version:
            try:
                if key.startswith(QUARANTINE_PREFIX):
                    self._on_quarantine(orjson.loads(row.value))
                    continue
                if key.startswith(RETIREMENT_PREFIX):
                    self._on_retirement(orjson.loads(row.value))
                    continue
                if key == DEPENDENCIES_ROW:
                    self._on_dependencies(orjson.loads(row.value))
                    continue
                member = decode_row(key, row.value)
            except Exception as error:
                # Whatever one row makes a receiver raise, the others are read.
                malformed.append((key, error))
                continue
            if member.instance != me.instance:
                members.append(member)
        self._report_malformed(malformed)
        self._membership.merge(members)
        self._gossip_task.add_seeds([(m.host, m.peer_port) for m in members])
        self._gossip_task.introduce()

    def _report_malformed(self, rows: list[tuple[str, Exception]]) -> None:
        """Count the rows that another program has written, and log the first ones."""
        self._counters.events["row.malformed"] += len(rows)
        for key, error in rows[:_MAX_LOGGED_ROWS]:
            log_change(
                "record_malformed",
                key=key[:_MAX_LOGGED_CHARACTERS],
                error=repr(error)[:_MAX_LOGGED_CHARACTERS],
                rows=len(rows),
            )

    def _row_key(self) -> str:
        return record_key(self._membership.me.instance)
