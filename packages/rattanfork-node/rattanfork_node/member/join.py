"""How a node finds the others through the store."""

import asyncio
from collections.abc import Callable
from random import Random

import orjson
from rattanfork_core.membership import Membership
from rattanfork_platform import PlatformDownError, Rows, WatchedPlatform

from rattanfork_node.member.gossip_task import GossipTask
from rattanfork_node.member.records import (
    QUARANTINE_PREFIX,
    TABLE,
    decode_record,
    record_key,
)
from rattanfork_node.telemetry import log_change

#: Seconds between tries while the store does not answer: first and longest.
_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 2.0


def _ignore(value: object) -> None:
    pass


class JoinTask:
    """Writes this node's record to the store, then reads those of others.

    Explanation
    ===========

    The store is linearizable.  Of two nodes that start at the same time, the
    one that writes later reads the other's record, and its first datagram
    tells the other.  So one write and one read are enough, and nobody needs
    to watch the table: later changes travel between the nodes.

    A row is named after the instance, so that a restarted node replaces its
    own.

    Parameters
    ==========

    random : Random
        Source of jitter.
    platform : WatchedPlatform
        The store.
    membership : Membership
        The view to fill.
    member_task : GossipTask
        Told of addresses to compare views with.
    on_quarantine : callable
        Gets the value of each row that holds what an instance knows of the quarantine.
    """

    def __init__(
        self,
        random: Random,
        platform: WatchedPlatform,
        membership: Membership,
        member_task: GossipTask,
        on_quarantine: Callable[[object], None] = _ignore,
    ) -> None:
        self._random = random
        self._platform = platform
        self._membership = membership
        self._member_task = member_task
        self._on_quarantine = on_quarantine
        self._task: asyncio.Task | None = None
        self._joined = False

    @property
    def joined(self) -> bool:
        """Whether the others' records have been read."""
        return self._joined

    def start(self) -> None:
        """Begin."""
        self._task = asyncio.ensure_future(self._join())

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def leave(self) -> None:
        """Take this node's record back, if the store answers."""
        try:
            await self._platform.remove(self._row_key())
        except PlatformDownError as error:
            log_change("record_kept", error=str(error))

    async def _join(self) -> None:
        pause = _FIRST_PAUSE
        while not self._joined:
            try:
                await self._platform.transact(
                    {}, {self._row_key(): list(self._membership.me)}
                )
                rows = await self._platform.scan(TABLE)
            except PlatformDownError:
                rows = None
            if rows is not None:
                self._take(rows)
                # A store restored between the two calls has lost the record again.
                self._joined = self._membership.me.instance in rows.rows
            if not self._joined:
                await asyncio.sleep(pause * self._random.uniform(0.7, 1.3))
                pause = min(_LONGEST_PAUSE, 2 * pause)
        log_change("joined", members=len(self._membership.members))

    def _take(self, rows: Rows) -> None:
        me = self._membership.me
        members = []
        for key, row in rows.rows.items():
            try:
                if key.startswith(QUARANTINE_PREFIX):
                    self._on_quarantine(orjson.loads(row.value))
                    continue
                member = decode_record(row.value)
            except ValueError as error:
                log_change("record_malformed", error=str(error))
                continue
            if member.instance != me.instance:
                members.append(member)
        self._membership.merge(members)
        self._member_task.add_seeds([(m.host, m.peer_port) for m in members])
        self._member_task.introduce()

    def _row_key(self) -> str:
        return record_key(self._membership.me.instance)
