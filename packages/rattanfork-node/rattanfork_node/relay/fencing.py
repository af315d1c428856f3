"""Route path: fence of an attempt whose link was lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from rattanfork_core.request import FenceVerdict

from rattanfork_node.peer import LinkLostError

if TYPE_CHECKING:
    from rattanfork_core.membership import Member

    from rattanfork_node.peer import PeerLink, PeerPool
    from rattanfork_node.telemetry import Counters

#: Time within which a gate must reply to a fence for an attempt whose link was lost.
_FENCE_TIMEOUT_S = 0.5


async def fence_attempt(
    pool: PeerPool,
    counters: Counters,
    member: Member | None,
    link: PeerLink | None,
    number: int,
) -> FenceVerdict | None:
    """Fence an attempt at its gate; return the verdict, None without a reply.

    Parameters
    ==========

    pool : PeerPool
        Connections to other nodes.
    counters : Counters
        Counts fences that were not answered.
    member : Member or None
        Member of the gate; None if it is no longer known.
    link : PeerLink or None
        The lost link over which the attempt was sent.
    number : int
        Number of the attempt on that link.
    """
    if member is None or link is None:
        return FenceVerdict.UNKNOWN
    try:
        async with asyncio.timeout(_FENCE_TIMEOUT_S):
            [verdict] = await pool.fence_calls(member, link.connection_id, [number])
    except (LinkLostError, TimeoutError, ValueError):
        counters.events["relay.fence-unanswered"] += 1
        return None
    return verdict
