"""Datagrams of the membership protocol."""

import hmac
from dataclasses import dataclass
from typing import NamedTuple

import msgpack

from rattanfork_core.gate_status import GateReport, ReportsByService
from rattanfork_core.membership.cached_versions import CachedVersions
from rattanfork_core.membership.direct_messages import (
    DIRECT_KINDS,
    DirectMessage,
    direct_message,
)
from rattanfork_core.membership.member import Member
from rattanfork_core.quarantine import CrashReport, SuccessReport

_MAC_BYTES = 12
#: Longest datagram; below the usual MTU so that none is fragmented.
LONGEST_DATAGRAM = 1400
_MOST_RUMOURS = 16
_LONGEST_NAME = 200


class Ping(NamedTuple):
    """Asks a member whether it is there."""

    number: int
    sender: Member
    target: str
    versions: CachedVersions
    updates: tuple[Member, ...]


class Ack(NamedTuple):
    """The target of a ping is there."""

    number: int
    sender: Member
    target: str
    versions: CachedVersions
    updates: tuple[Member, ...]


class PingRequest(NamedTuple):
    """Please ping that member for me."""

    number: int
    sender: Member
    target: str
    versions: CachedVersions
    updates: tuple[Member, ...]


class GateUpdate(NamedTuple):
    """Tells what gates have reported, by service; nobody answers it."""

    reports: ReportsByService


class CrashUpdate(NamedTuple):
    """Reports the suspects of crashes of upstreams; it has no reply."""

    reports: tuple[CrashReport, ...]
    successes: tuple[SuccessReport, ...] = ()


#: Gossip updates without a reply, which each receiver disseminates.
GossipUpdate = GateUpdate | CrashUpdate
GossipMessage = Ping | Ack | PingRequest
_KINDS: tuple[type, ...] = (
    Ping,
    Ack,
    PingRequest,
    GateUpdate,
    CrashUpdate,
    *DIRECT_KINDS,
)
#: All that travels in a datagram.
Datagram = GossipMessage | GossipUpdate | DirectMessage


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram to send."""

    address: tuple[str, int]
    message: GossipMessage


def encode_gossip(message: Datagram, key: bytes) -> bytes:
    """Return a message as an authenticated datagram."""
    body = msgpack.packb((_KINDS.index(type(message)), *message))
    return hmac.digest(key, b"gossip" + body, "sha256")[:_MAC_BYTES] + body


def decode_gossip(data: bytes, key: bytes) -> Datagram:
    """Return the message of a datagram.

    Raises
    ======

    ValueError
        If the datagram was not made with the key or is malformed.

    Examples
    ========

    >>> me = Member("w1", "b", "claims", "dc1", "127.0.0.1", 1, 2, 8)
    >>> ping = Ping(1, me, "w2@b", CachedVersions(), ())
    >>> decode_gossip(encode_gossip(ping, b"k"), b"k") == ping
    True
    >>> decode_gossip(b"x" * 40, b"k")
    Traceback (most recent call last):
    ...
    ValueError: datagram of a stranger
    """
    mac, body = data[:_MAC_BYTES], data[_MAC_BYTES:]
    expected = hmac.digest(key, b"gossip" + body, "sha256")[:_MAC_BYTES]
    if not hmac.compare_digest(mac, expected):
        raise ValueError("datagram of a stranger")
    try:
        kind, *fields = msgpack.unpackb(body, use_list=False)
        message_type = _KINDS[kind]
        if message_type in DIRECT_KINDS:
            return direct_message(message_type, tuple(fields))
        if message_type is GateUpdate:
            return _gate_news(*fields)
        if message_type is CrashUpdate:
            reports, successes = fields
            return CrashUpdate(
                tuple(CrashReport.from_fields(r) for r in reports),
                tuple(SuccessReport.from_fields(s) for s in successes),
            )
        number, sender, target, held, rumours = fields
    except Exception as error:
        raise ValueError("malformed datagram") from error
    if type(number) is not int:
        raise ValueError("malformed datagram")
    if not isinstance(target, str) or not isinstance(rumours, tuple):
        raise ValueError("malformed datagram")
    return message_type(
        number,
        Member.from_fields(sender),
        target,
        CachedVersions.from_fields(held),
        tuple(Member.from_fields(rumour) for rumour in rumours[:_MOST_RUMOURS]),
    )


def _gate_news(reports: dict) -> GateUpdate:
    told: dict[str, list[GateReport]] = {}
    for service, several in reports.items():
        if not isinstance(service, str) or len(service) > _LONGEST_NAME:
            raise ValueError("name of a service expected")
        told[service] = [GateReport.from_fields(fields) for fields in several]
    return GateUpdate(told)
