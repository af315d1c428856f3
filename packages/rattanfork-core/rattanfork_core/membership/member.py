"""Membership record of one node and its upstream instance."""

from enum import IntEnum
from typing import NamedTuple


class MemberStatus(IntEnum):
    """Status of a member; at the same incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """Record of a member, as membership updates carry it.

    Explanation
    ===========

    A restarted node has a new ``boot`` and is another member.  So nothing has to
    be kept across restarts, and updates about the earlier process do not affect
    the new one.  Only the member itself raises its ``incarnation`` (the incarnation
    number of SWIM), to refute a suspicion or to change its record.

    Parameters
    ==========

    instance : str
        ID of the upstream instance that the node runs beside.
    boot : str
        ID of this run of the node process.
    service : str
        Service of the instance.
    data_centre : str
        Data centre of the instance.
    host : str
        Address at which other nodes reach this one.
    peer_port : int
        TCP port for forwarded requests and whole views.
    gossip_port : int
        UDP port of the membership protocol.
    slots : int
        Number of requests that the upstream runs at a time.
    ready : bool
        Whether the node accepts requests for its upstream.
    incarnation : int
        Version of this record.
    status : int
        A :class:`MemberStatus`.
    succession : int
        Number of upstream processes that this node process has had so far, so that
        what was learned of an earlier one is not applied to the current one.

    Examples
    ========

    >>> a = Member("w1", "b", "claims", "dc1", "127.0.0.1", 1, 2, 8)
    >>> a.replace(status=MemberStatus.SUSPECT).overrides(a)
    True
    >>> a.replace(incarnation=1).overrides(a.replace(status=MemberStatus.DEAD))
    True
    """

    instance: str
    boot: str
    service: str
    data_centre: str
    host: str
    peer_port: int
    gossip_port: int
    slots: int
    ready: bool = True
    incarnation: int = 0
    status: int = MemberStatus.ALIVE
    succession: int = 0

    @property
    def name(self) -> str:
        """ID of the member: instance and boot."""
        return f"{self.instance}@{self.boot}"

    @property
    def address(self) -> tuple[str, int]:
        """Address of the gossip port."""
        return (self.host, self.gossip_port)

    def replace(self, **changes: object) -> "Member":
        """Return a copy with some fields changed."""
        return self._replace(**changes)

    def overrides(self, other: "Member") -> bool:
        """Return whether this supersedes another record of the same member."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.status > other.status

    @classmethod
    def from_fields(cls, fields: object) -> "Member":
        """Return the member in a decoded message.

        Raises
        ======

        ValueError
            If the number, a type or a range of the fields is wrong.
        """
        if not isinstance(fields, list | tuple) or len(fields) != len(cls._fields):
            raise ValueError("member record: list of 12 fields expected")
        texts, numbers = fields[:5], (*fields[5:8], *fields[9:])
        if not all(isinstance(text, str) and len(text) <= 200 for text in texts):
            raise ValueError("member record: string of at most 200 characters expected")
        if not all(type(number) is int and 0 <= number < 1 << 62 for number in numbers):
            raise ValueError("member record: integer from 0 to 2**62 - 1 expected")
        if type(fields[8]) is not bool or fields[10] > MemberStatus.DEAD:
            raise ValueError(
                "member record: boolean ready flag and status up to 3 expected"
            )
        if not (0 < fields[5] < 65536 and 0 < fields[6] < 65536):
            raise ValueError("member record: port from 1 to 65535 expected")
        return cls(*fields)
