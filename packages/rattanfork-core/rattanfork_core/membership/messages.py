"""Datagrams of the membership protocol and their authenticated encoding."""

import hmac
from dataclasses import dataclass
from typing import NamedTuple

import msgpack

from rattanfork_core.fair_shares import (
    DEMAND_MESSAGE_TYPES,
    DemandReport,
    DemandTotals,
)
from rattanfork_core.gate_status import GateReport, ReportsByService
from rattanfork_core.membership.cached_versions import CachedVersions
from rattanfork_core.membership.direct_messages import (
    DIRECT_MESSAGE_TYPES,
    DirectMessage,
    direct_message_from_fields,
)
from rattanfork_core.membership.member import Member
from rattanfork_core.quarantine import CrashReport, SuccessReport
from rattanfork_core.retirement import Retirement

#: Bytes of the truncated HMAC-SHA256 at the head of a datagram.
_MAC_BYTES = 12
#: Below the Ethernet MTU of 1,500 bytes, so that datagrams are not fragmented.
MAX_DATAGRAM_BYTES = 1400
#: Updates that are read from one datagram; further ones are ignored.
_MAX_UPDATES_READ = 16
_MAX_SERVICE_CHARACTERS = 200


class Ping(NamedTuple):
    """Probe of a member, which replies with an :class:`Ack`.

    Parameters
    ==========

    number : int
        Chosen by the sender and repeated in the ack.
    sender : Member
        Record of the sending node.
    target : str
        Name of the member that is probed.
    versions : CachedVersions
        Versions of rules and configuration at the sender.
    updates : tuple of Member
        Membership updates piggybacked on the probe.
    """

    number: int
    sender: Member
    target: str
    versions: CachedVersions
    updates: tuple[Member, ...]


class Ack(NamedTuple):
    """Reply to a :class:`Ping`, or to a :class:`PingRequest` by the relaying member.

    ``target`` and ``versions`` are those of the member that was probed, which
    is not ``sender`` if the ack was relayed.
    """

    number: int
    sender: Member
    target: str
    versions: CachedVersions
    updates: tuple[Member, ...]


class PingRequest(NamedTuple):
    """Indirect probe: the receiver pings ``target`` and relays its ack."""

    number: int
    sender: Member
    target: str
    versions: CachedVersions
    updates: tuple[Member, ...]


class GateUpdate(NamedTuple):
    """Load reports of gates by service; it has no reply.

    A gate is the admission control in front of one upstream.
    """

    reports: ReportsByService


class CrashUpdate(NamedTuple):
    """Requests suspected of crashing upstreams, and their successes; it has no reply.

    See :class:`~rattanfork_core.quarantine.Quarantine`.
    """

    reports: tuple[CrashReport, ...]
    successes: tuple[SuccessReport, ...] = ()


class RetirementUpdate(NamedTuple):
    """Upstreams that have stated that they leave; it has no reply."""

    retirements: tuple[Retirement, ...]


#: Datagrams without a reply, whose content each receiver disseminates in turn.
GossipUpdate = GateUpdate | CrashUpdate | DemandTotals | RetirementUpdate
#: Datagrams of failure detection.
GossipMessage = Ping | Ack | PingRequest
#: The index of a type is sent on the wire, so new types are appended.  Nodes of a build
#: that does not know an index count the datagram as ``gossip.refused``.
_MESSAGE_TYPES: tuple[type, ...] = (
    Ping,
    Ack,
    PingRequest,
    GateUpdate,
    CrashUpdate,
    *DIRECT_MESSAGE_TYPES,
    *DEMAND_MESSAGE_TYPES,
    RetirementUpdate,
)
#: All messages that a datagram may hold.
Datagram = GossipMessage | GossipUpdate | DirectMessage | DemandReport


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram that the caller has to send."""

    address: tuple[str, int]
    message: GossipMessage


def encode_gossip(message: Datagram, key: bytes) -> bytes:
    """Return a message as a datagram: truncated HMAC, then msgpack."""
    body = msgpack.packb((_MESSAGE_TYPES.index(type(message)), *message))
    return hmac.digest(key, b"gossip" + body, "sha256")[:_MAC_BYTES] + body


def decode_gossip(data: bytes, key: bytes) -> Datagram:
    """Return the message in a datagram.

    Raises
    ======

    ValueError
        If the HMAC does not match the key, or the content is malformed.

    Examples
    ========

    >>> me = Member("w1", "b", "claims", "dc1", "127.0.0.1", 1, 2, 8)
    >>> ping = Ping(1, me, "w2@b", CachedVersions(), ())
    >>> decode_gossip(encode_gossip(ping, b"k"), b"k") == ping
    True
    >>> decode_gossip(b"x" * 40, b"k")
    Traceback (most recent call last):
    ...
    ValueError: datagram authentication failed
    """
    mac, body = data[:_MAC_BYTES], data[_MAC_BYTES:]
    expected = hmac.digest(key, b"gossip" + body, "sha256")[:_MAC_BYTES]
    if not hmac.compare_digest(mac, expected):
        raise ValueError("datagram authentication failed")
    try:
        type_index, *fields = msgpack.unpackb(body, use_list=False)
        message_type = _MESSAGE_TYPES[type_index]
        if message_type in DIRECT_MESSAGE_TYPES:
            return direct_message_from_fields(message_type, tuple(fields))
        if message_type in DEMAND_MESSAGE_TYPES:
            return message_type.from_fields(tuple(fields))
        if message_type is GateUpdate:
            return _gate_update_from_fields(*fields)
        if message_type is CrashUpdate:
            reports, successes = fields
            return CrashUpdate(
                tuple(CrashReport.from_fields(r) for r in reports),
                tuple(SuccessReport.from_fields(s) for s in successes),
            )
        if message_type is RetirementUpdate:
            [retirements] = fields
            return RetirementUpdate(
                tuple(Retirement.from_fields(r) for r in retirements)
            )
        number, sender, target, versions, updates = fields
    except Exception as error:
        raise ValueError(
            f"malformed datagram: fields of a known message type expected: {error}"
        ) from error
    if type(number) is not int:
        raise ValueError("malformed datagram: integer message number expected")
    if not isinstance(target, str) or not isinstance(updates, tuple):
        raise ValueError("malformed datagram: target name and list of updates expected")
    return message_type(
        number,
        Member.from_fields(sender),
        target,
        CachedVersions.from_fields(versions),
        tuple(Member.from_fields(update) for update in updates[:_MAX_UPDATES_READ]),
    )


def _gate_update_from_fields(reports: dict) -> GateUpdate:
    reports_by_service: dict[str, list[GateReport]] = {}
    for service, service_reports in reports.items():
        if not isinstance(service, str) or len(service) > _MAX_SERVICE_CHARACTERS:
            raise ValueError("gate update: service name expected")
        reports_by_service[service] = [
            GateReport.from_fields(fields) for fields in service_reports
        ]
    return GateUpdate(reports_by_service)
