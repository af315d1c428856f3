"""Keeps retirements of upstreams beyond the process that acknowledged them."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import TypeVar

from rattanfork_core.clock import Clock
from rattanfork_core.membership import Member, Membership, RetirementUpdate
from rattanfork_core.retirement import Retirement, RetirementTable
from rattanfork_platform import WatchedPlatform

from rattanfork_node.member.gossip_task import GossipTask
from rattanfork_node.member.retirement_writer import RetirementWriter
from rattanfork_node.peer import (
    LinkLostError,
    PeerLink,
    PeerPool,
    PersistRequest,
    RetirementsReply,
    RetirementsRequest,
)
from rattanfork_node.peer.messages import RETIREMENTS_LEVEL
from rattanfork_node.telemetry import Counters, log_change

#: Members to which each retirement is sent by the node beside the upstream, and by
#: each node that receives it for the first time.
_FIRST_FANOUT = 8
_FANOUT = 4
#: Seconds for which a leaving is sent again, and between two times: datagrams are lost,
#: and a process that has just started knows few members.
_RESEND_FOR_S = 3.0
_RESEND_INTERVAL_S = 0.3
#: Seconds for which a process writes what its upstream has stated to a restored store
#: itself: longer than an upstream serves after it.
_REWRITE_FOR_S = 60.0
#: Members whose complete tables stand for the store while it does not answer, or may
#: have been restored.  One may have missed a datagram, or have started later.
_COMPLETE_REPLIES = 3
#: Members whose tables are requested at once, as some of them may have failed.
_REQUESTS_IN_ROUND = 5
#: Seconds after which a node that has read a store which can be restored from an older
#: copy attaches its upstream without the table of another node.
_CONFIRM_WITHIN_S = 0.3
#: Seconds for a request to a peer, connecting included.
_PEER_TIMEOUT_S = 0.6
#: Records of one transaction.
_MAX_WRITES = 50

_Result = TypeVar("_Result")


class RetirementTask:
    """Persists the retirements of this node's upstream, and learns them at a start.

    Explanation
    ===========

    An acknowledged leaving binds the processes that are started later on the same
    instance.  It is written to the store before it is acknowledged, since all nodes may
    lose power right after that, and sent to the other nodes, since the store may be
    unavailable when the next process starts.  Until that process has read the store or
    the tables of a few others, it attaches no upstream.

    A node that the store does not answer lets a peer write for it.  A store that can be
    restored from an older copy may have lost a row, so that a node which has read it
    also requests the tables of a few others, for a short time, and a node that has
    acknowledged leavings writes them again.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of the choice of peers and of jitter.
    platform : WatchedPlatform
        The store.
    membership : Membership
        Membership view of this node.
    gossip_task : GossipTask
        Sends and receives gossip messages.
    pool : PeerPool
        Connections to other nodes.
    counters : Counters
        Event counters.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        platform: WatchedPlatform,
        membership: Membership,
        gossip_task: GossipTask,
        pool: PeerPool,
        counters: Counters,
    ) -> None:
        self._clock = clock
        self._random = random
        self._platform = platform
        self._membership = membership
        self._gossip_task = gossip_task
        self._pool = pool
        self._counters = counters
        self._table = RetirementTable()
        self._writer = RetirementWriter(random, platform, self._request_write, counters)
        self._started_at = clock.now()
        self._known = False
        #: When leavings were stated to this process, the oldest first.
        self._stated: dict[Retirement, float] = {}
        self._next_resend = 0.0
        self._era = 0
        #: When the store had been read; None before.
        self._read_at: float | None = None
        #: Members that have replied with a complete table, with their instances, and
        #: those that have not.
        self._replied: dict[str, str] = {}
        self._requested: set[str] = set()
        #: Whether a round of requests has ended, whatever the replies.
        self._confirmed = False
        self._background: set[asyncio.Task] = set()
        self._requesting = False
        #: Called when retirements of this instance have been learned from others, and
        #: when all of them are known.
        self.on_learned: Callable[[], None] = _ignore
        gossip_task.on_retirement_update = self.on_update

    @property
    def known(self) -> bool:
        """Whether all retirements of this instance are known."""
        return self._known

    @property
    def own(self) -> list[Retirement]:
        """The known retirements of this instance, the oldest first."""
        return self._table.of_instance(self._instance)

    def retire(self, upstream: str, born: int) -> None:
        """Record, send and persist that the upstream of this node leaves."""
        retirement = Retirement(self._instance, upstream, born)
        if self._table.add(retirement):
            self._send(retirement, _FIRST_FANOUT)
        if retirement not in self._stated:
            self._stated[retirement] = self._clock.now()
        self._writer.start(retirement)

    def retired_start(self, upstream: str) -> int | None:
        """Return the latest start with which an ID has left here; None if it has not.

        The start is 0 if it is unknown.
        """
        return self._table.start_of(self._instance, upstream)

    def is_stored(self, upstream: str, born: int) -> bool:
        """Return whether the store holds a retirement of this instance."""
        return self._writer.is_stored(Retirement(self._instance, upstream, born))

    async def wait_stored(self, upstream: str, born: int, timeout: float) -> bool:
        """Wait until the store holds a retirement; return whether it does in time."""
        retirement = Retirement(self._instance, upstream, born)
        return await self._writer.wait(retirement, timeout)

    def merge_record(self, value: object) -> None:
        """Merge a row of the store.

        Raises
        ======

        ValueError
            If the value is not a retirement.
        """
        retirement = Retirement.from_fields(value)
        self._writer.mark_stored(retirement)
        self._merge([retirement])

    def on_joined(self) -> None:
        """Record that all rows of the store have been merged."""
        self._read_at = self._next_resend = self._clock.now()
        self._check_known()
        self.tick()

    def on_update(self, update: RetirementUpdate) -> None:
        """Merge an update of another node, and forward what is new."""
        for retirement in self._merge(update.retirements):
            self._send(retirement, _FANOUT)

    def tick(self) -> None:
        """Send, write and request what is due; call ten times a second."""
        self._resend()
        self._write_again()
        if self._known:
            return
        self._check_known()
        if self._known or self._requesting:
            return
        if self._other_members():
            self._requesting = True
            self._spawn(self._request_tables())

    def reply(self, number: int) -> RetirementsReply:
        """Return the reply to a peer that has just started."""
        entries = [list(entry) for entry in self._table.entries()]
        return RetirementsReply(number, self._known, entries)

    async def write_for_peer(self, request: PersistRequest) -> bool:
        """Write a retirement for a peer; return whether the store has confirmed it.

        Raises
        ======

        ValueError
            If a field is out of range.
        """
        retirement = Retirement.from_fields(tuple(request)[1:])
        self.on_update(RetirementUpdate((retirement,)))
        return await self._writer.write(retirement)

    async def persist_all(self) -> None:
        """Write all retirements, for a store that may have lost them.

        Raises
        ======

        PlatformDownError
            If the store does not answer.
        """
        entries = self._table.entries()
        for begin in range(0, len(entries), _MAX_WRITES):
            await self._writer.write_all(entries[begin : begin + _MAX_WRITES])

    def close(self) -> None:
        """Cancel all background tasks."""
        self._writer.close()
        for task in self._background:
            task.cancel()

    @property
    def _instance(self) -> str:
        return self._membership.me.instance

    @property
    def _enough_replied(self) -> bool:
        """Whether enough processes have replied.

        Records of several processes of one instance lead to the one that runs.
        """
        return len(set(self._replied.values())) >= _COMPLETE_REPLIES

    def _merge(self, retirements: list[Retirement]) -> list[Retirement]:
        new = self._table.merge(retirements)
        own = [entry for entry in new if entry.instance == self._instance]
        for entry in own:
            self._writer.start(entry)
        if own:
            self.on_learned()
        return new

    def _send(self, retirement: Retirement, fanout: int) -> None:
        self._gossip_task.send_to_random(RetirementUpdate((retirement,)), fanout)

    def _resend(self) -> None:
        """Send what was stated shortly before, if it is time."""
        now = self._clock.now()
        if now < self._next_resend:
            return
        self._next_resend = now + _RESEND_INTERVAL_S
        for retirement, stated_at in list(self._stated.items()):
            if now - stated_at < _RESEND_FOR_S:
                self._send(retirement, _FIRST_FANOUT)
            elif now - stated_at > _REWRITE_FOR_S:
                del self._stated[retirement]

    def _write_again(self) -> None:
        """Write what was stated to this process if the store was restored."""
        before, self._era = self._era, self._platform.era
        if before and self._era != before:
            for retirement in self._stated:
                self._writer.start(retirement)

    def _check_known(self) -> None:
        others = {member.name for member in self._other_members()}
        if self._read_at is not None:
            waited = self._clock.now() - self._read_at
            confirmed = self._confirmed or self._enough_replied or not others
            if confirmed or not self._platform.era or waited >= _CONFIRM_WITHIN_S:
                self._set_known("store")
        elif self._replied and (
            self._enough_replied or others <= self._requested | self._replied.keys()
        ):
            self._set_known("peers")

    def _set_known(self, source: str) -> None:
        if self._known:
            return
        self._known = True
        log_change(
            "retirements_known",
            source=source,
            own=len(self.own),
            node_age_s=round(self._clock.now() - self._started_at, 2),
        )
        self.on_learned()

    def _other_members(self) -> list[Member]:
        me = self._membership.me.name
        return [m for m in self._membership.present() if m.name != me]

    async def _request_tables(self) -> None:
        """Request the tables of a few random members until enough have replied."""
        others = [m for m in self._other_members() if m.name not in self._replied]
        self._random.shuffle(others)
        others.sort(key=lambda member: member.name in self._requested)
        chosen = others[:_REQUESTS_IN_ROUND]
        requests = [asyncio.ensure_future(self._request_table(m)) for m in chosen]
        try:
            for reply in asyncio.as_completed(requests):
                # Later replies are merged as well.
                await reply
                self._check_known()
            self._confirmed |= bool(requests)
            self._requested.update(member.name for member in chosen)
        finally:
            for request in requests:
                request.cancel()
            self._requesting = False
        self._check_known()

    async def _request_table(self, member: Member) -> None:
        try:
            link = await self._link_to(member)
            if link is None:
                return
            reply = await self._within_timeout(
                link.ask(RetirementsRequest(link.next_number()))
            )
            self._merge([Retirement.from_fields(r) for r in reply.retirements])
        except (LinkLostError, TimeoutError, ValueError):
            self._counters.events["retirement.peer-lost"] += 1
            return
        if reply.complete:
            self._replied[member.name] = member.instance

    async def _request_write(self, retirement: Retirement) -> bool:
        """Let a random peer write a retirement; return whether the store holds it."""
        others = self._other_members()
        if not others:
            return False
        try:
            link = await self._link_to(self._random.choice(others))
            if link is None:
                return False
            request = PersistRequest(link.next_number(), *retirement)
            return (await self._within_timeout(link.ask(request))).stored
        except (LinkLostError, TimeoutError):
            return False

    async def _link_to(self, member: Member) -> PeerLink | None:
        """Return a connection to a member; None if its build is older."""
        link = await self._within_timeout(
            self._pool.open((member.host, member.peer_port))
        )
        return link if link.peer_level >= RETIREMENTS_LEVEL else None

    async def _within_timeout(self, reply: asyncio.Future | Coroutine) -> _Result:
        async with asyncio.timeout(_PEER_TIMEOUT_S):
            return await reply

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _ignore() -> None:
    pass
