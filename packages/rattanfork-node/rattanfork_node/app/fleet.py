"""What a node can say of the others, by asking a bounded number of them."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

from rattanfork_core.burn import BurnMeter
from rattanfork_core.membership import Member, Membership
from rattanfork_core.revision import RevisionState

from rattanfork_node.admin.fleet import FleetSource
from rattanfork_node.peer import LinkLostError, PeerPool

#: Most nodes asked for one report; of a larger fleet a sample is drawn.
MOST_ASKED = 200
_AT_ONCE = 32
_TIMEOUT = 2.0

Answer = TypeVar("Answer")


class FleetView(FleetSource):
    """Asks other nodes for reports.

    Parameters
    ==========

    membership : Membership
        Who is there.
    pool : PeerPool
        Connections to other nodes.
    rules : RevisionState
        The rules in force here.
    burn : BurnMeter
        What this node has seen of the objectives.
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
        """Return which revision is in force where."""
        mine = self._rules.revision
        known = 1 << 62

        async def ask(member: Member) -> int:
            address = (member.host, member.peer_port)
            _, reply = await self._pool.ask_rules(address, known)
            return reply.revision

        answers = await self._ask_all(ask)
        answers[self._membership.me.name] = mine
        return {
            "nodes": [
                {"node": name, "revision": revision}
                for name, revision in sorted(answers.items())
            ],
            "unanswered": sum(r is None for r in answers.values()),
            "members": len(self._membership.present()),
        }

    async def burn(self) -> dict:
        """Return the totals of the burn report."""

        async def ask(member: Member) -> list:
            reply = await self._pool.ask_burn((member.host, member.peer_port))
            return reply.totals

        answers = await self._ask_all(ask)
        answers[self._membership.me.name] = self._burn.totals()
        known = [totals for totals in answers.values() if totals is not None]
        return {
            "totals": [entry for totals in known for entry in totals],
            "objectives": [o.model_dump() for o in self._rules.rules.objectives],
            "latency": self._burn.latency_quantiles(),
            "answered": len(known),
            "unanswered": len(answers) - len(known),
            "members": len(self._membership.present()),
        }

    async def _ask_all(
        self, ask: Callable[[Member], Awaitable[Answer]]
    ) -> dict[str, Answer | None]:
        me = self._membership.me.name
        others = [m for m in self._membership.present() if m.name != me]
        if len(others) > MOST_ASKED:
            others = Random().sample(others, MOST_ASKED)
        gate = asyncio.Semaphore(_AT_ONCE)

        async def ask_one(member: Member) -> tuple[str, Answer | None]:
            async with gate:
                try:
                    async with asyncio.timeout(_TIMEOUT):
                        return member.name, await ask(member)
                except (LinkLostError, TimeoutError):
                    return member.name, None

        return dict(await asyncio.gather(*(ask_one(m) for m in others)))
