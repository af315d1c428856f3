"""Reports over the fleet, from the replies of a bounded number of nodes."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

from rattanfork_core.burn import BurnMeter
from rattanfork_core.membership import Member, Membership
from rattanfork_core.revision import RevisionState

from rattanfork_node.admin.fleet import FleetSource
from rattanfork_node.peer import LinkLostError, PeerPool

#: Maximum number of nodes queried for one report; a larger fleet is sampled.
MAX_QUERIED = 200
_MAX_CONCURRENT = 32
_QUERY_TIMEOUT_S = 2.0

Reply = TypeVar("Reply")


class FleetView(FleetSource):
    """Builds reports by querying other nodes.

    Parameters
    ==========

    membership : Membership
        Members of the fleet.
    pool : PeerPool
        Connections to other nodes.
    rules : RevisionState
        The rules in force at this node.
    burn : BurnMeter
        This node's counts of requests against the objectives.
    """

    def __init__(
        self,
        membership: Membership,
        pool: PeerPool,
        rules: RevisionState,
        burn: BurnMeter,
    ) -> None:
        self._membership = membership
        self._pool = pool
        self._rules = rules
        self._burn = burn

    async def revisions(self) -> dict:
        """Return the rules revision that is in force at each node."""
        own_revision = self._rules.revision
        known = 1 << 62

        async def query(member: Member) -> int:
            address = (member.host, member.peer_port)
            _, reply = await self._pool.ask_rules(address, known)
            return reply.revision

        replies = await self._query_all(query)
        replies[self._membership.me.name] = own_revision
        return {
            "nodes": [
                {"node": name, "revision": revision}
                for name, revision in sorted(replies.items())
            ],
            "unanswered": sum(r is None for r in replies.values()),
            "members": len(self._membership.present()),
        }

    async def burn(self) -> dict:
        """Return the totals of all nodes for the error budget burn report."""

        async def query(member: Member) -> list:
            reply = await self._pool.ask_burn((member.host, member.peer_port))
            return reply.totals

        replies = await self._query_all(query)
        replies[self._membership.me.name] = self._burn.totals()
        known = [totals for totals in replies.values() if totals is not None]
        return {
            "totals": [entry for totals in known for entry in totals],
            "objectives": [o.model_dump() for o in self._rules.rules.objectives],
            "latency": self._burn.latency_quantiles(),
            "answered": len(known),
            "unanswered": len(replies) - len(known),
            "members": len(self._membership.present()),
        }

    async def _query_all(
        self, query: Callable[[Member], Awaitable[Reply]]
    ) -> dict[str, Reply | None]:
        me = self._membership.me.name
        others = [m for m in self._membership.present() if m.name != me]
        if len(others) > MAX_QUERIED:
            others = Random().sample(others, MAX_QUERIED)
        concurrency = asyncio.Semaphore(_MAX_CONCURRENT)

        async def query_one(member: Member) -> tuple[str, Reply | None]:
            async with concurrency:
                try:
                    async with asyncio.timeout(_QUERY_TIMEOUT_S):
                        return member.name, await query(member)
                except (LinkLostError, TimeoutError):
                    return member.name, None

        return dict(await asyncio.gather(*(query_one(m) for m in others)))
