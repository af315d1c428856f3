"""Shares of a node's memory limit."""

from dataclasses import dataclass
from typing import Self

#: Memory of the program itself, with tables and links of a fleet, in bytes.
_PROGRAM_BYTES = 40_000_000
#: Share of the rest that may be held.  What is left of it is for copies on the way to
#: a socket, and for memory that the allocator keeps.
_HELD_SHARE = 0.85
#: Shares of what may be held: connections and small requests of clients, and what
#: large bodies and responses share.
_REQUEST_SHARE = 0.15
_COMMON_SHARE = 0.8
#: Parts of the common room that request bodies and responses may take at most, so that
#: neither takes all of it.
_BODY_SHARE = 0.95
_RESPONSE_SHARE = 0.7
#: Part of the room for bodies that is not for the largest ones, and its limit in bytes.
_MEDIUM_BODY_SHARE = 1 / 3
_MAX_MEDIUM_BODY_BYTES = 32 << 20
#: Memory that may be held without a limit, in bytes.
_UNLIMITED_HELD_BYTES = 768 << 20


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """Bounds in bytes, each over all that the node holds of one sort.

    Explanation
    ===========

    Together with the program they stay below the memory limit of the node, also if each
    of them is reached at the same time.

    Parameters
    ==========

    requests : int
        Connections of clients, and requests up to 64 KiB.
    common : int
        Larger request bodies, and responses.
    medium_bodies, large_bodies : int
        Parts of ``common`` that request bodies may take, the largest ones apart from
        the others.
    responses : int
        Part of ``common`` that responses may take.

    Examples
    ========

    >>> plan = MemoryPlan.of(200_000_000)
    >>> plan.requests, plan.common, plan.responses
    (20400000, 108800000, 76160000)
    >>> plan.medium_bodies, plan.large_bodies
    (33554432, 69805568)
    """

    requests: int
    common: int
    medium_bodies: int
    large_bodies: int
    responses: int

    @classmethod
    def of(cls, memory_bytes: int | None) -> Self:
        """Return the plan for a memory limit in bytes; None if it is unknown."""
        held = _UNLIMITED_HELD_BYTES
        if memory_bytes is not None:
            # A node below the program's own size is over its limit in any case.
            rest = max(memory_bytes - _PROGRAM_BYTES, memory_bytes // 8)
            held = int(rest * _HELD_SHARE)
        common = int(held * _COMMON_SHARE)
        bodies = int(common * _BODY_SHARE)
        medium = min(_MAX_MEDIUM_BODY_BYTES, int(bodies * _MEDIUM_BODY_SHARE))
        return cls(
            requests=int(held * _REQUEST_SHARE),
            common=common,
            medium_bodies=medium,
            large_bodies=bodies - medium,
            responses=int(common * _RESPONSE_SHARE),
        )

    @property
    def bodies(self) -> int:
        """Bytes that all request bodies from 64 KiB on may take."""
        return self.medium_bodies + self.large_bodies
