"""Messages between nodes.

A message is a msgpack array: the number of its kind, then its fields in order.
Times are durations in milliseconds; no wall-clock time is sent.
"""

from math import isfinite
from typing import Any, NamedTuple

import msgpack
from rattanfork_core.advertised.report import NO_LIMIT

from rattanfork_node.peer.body_messages import BodyCredit, BodyPart, BodyStart
from rattanfork_node.peer.call_messages import (
    BurnReply,
    BurnRequest,
    Call,
    EpochReply,
    EpochRequest,
    FenceKey,
    Reply,
)
from rattanfork_node.peer.errors import FrameError
from rattanfork_node.peer.retirement_messages import (
    PersistReply,
    PersistRequest,
    RetirementsReply,
    RetirementsRequest,
)

PROTOCOL_VERSION = 4
#: Optional fields and messages that a node understands: 1 adds the reports on
#: upstreams to runs and their replies, 2 the messages on retirements, 3 bodies in
#: parts.  Nodes exchange their levels in pings, so that a node of a lower level never
#: gets what it would reject.
MESSAGE_LEVEL = 4
#: Lowest level of a node that understands the messages on retirements.
RETIREMENTS_LEVEL = 2
#: Lowest level of a node that receives bodies in parts.
BODY_PARTS_LEVEL = 3
#: Size in bytes up to which a body is sent whole although the peer does not read at the
#: moment.
MAX_UNPAUSED_BYTES = 4 << 10
#: Level from which a peer receives the bodies of replies in parts.
REPLY_PARTS_LEVEL = 4
#: Maximum characters of a header, a path or the ID of an upstream.
_MAX_TEXT_LENGTH = 16_384
_MAX_HEADERS = 200


class Challenge(NamedTuple):
    """First message, sent by the accepting side."""

    version: int
    nonce: bytes


class Hello(NamedTuple):
    """Reply to a challenge, with the proof of the shared key."""

    version: int
    node: str
    connection_id: str
    nonce: bytes
    proof: bytes


class Welcome(NamedTuple):
    """Proof and identity of the accepting side; completes the handshake."""

    node: str
    data_centre: str
    proof: bytes


class Run(NamedTuple):
    """Request of the route path, to be run at the receiver's upstream.

    ``boot`` is the incarnation of the gate that it is meant for, ``route`` the
    name of its route, ``block`` its raw header lines, and ``rank`` its place in
    the order of shedding (higher ranks are shed first).  ``attempt`` is the number
    of the attempt, ``may_have_arrived`` is true if an earlier one may have reached an
    upstream, and ``repeated`` if the run that made this request was itself a retry.
    ``account`` is the name of the client account, or "".  The fields from ``upstream``
    on are the sender's report on the receiver's upstream; without one, ``upstream`` is
    "" and they are not sent.
    """

    number: int
    boot: str
    route: str
    method: bytes
    target: bytes
    block: bytes
    body: bytes
    request_id: bytes
    rank: float
    time_left_ms: int
    idempotent: bool
    repeated: bool
    may_have_arrived: bool
    attempt: int
    account: str
    upstream: str = ""
    born: int = 0
    rate_limit: float = NO_LIMIT
    leaving: bool = False


class RunReply(NamedTuple):
    """Result of a run, with the state of the gate.

    ``cut`` is the rank from which the gate sheds, ``busy`` its number of queued
    and running requests; ``services_reached`` names the services that runs of the
    operation call, at any depth.  The fields from ``upstream`` on are the gate's report
    on its upstream; without one, ``upstream`` is "" and they are not sent.
    """

    number: int
    outcome: int
    reason: int
    status: int
    block: bytes
    body: bytes
    retry_elsewhere: bool
    cut: float
    busy: int
    services_reached: list
    upstream: str = ""
    born: int = 0
    rate_limit: float = NO_LIMIT
    leaving: bool = False


class ConfigurationRequest(NamedTuple):
    """Requests the cached configuration if it is newer than version ``known``."""

    number: int
    known: int


class ConfigurationReply(NamedTuple):
    """The cached configuration, as its source wrote it.

    ``document`` is empty if the version is not newer than the requested one.
    """

    number: int
    version: int
    document: bytes


class Cancel(NamedTuple):
    """Cancels a call or run; no reply is expected."""

    number: int


class Fence(NamedTuple):
    """Fences a connection: no more of its requests are handed to the upstream.

    ``calls`` are the numbers of the requests on which a verdict is requested.
    """

    number: int
    connection_id: str
    calls: list


class FenceReply(NamedTuple):
    """Verdict on each fenced request, or on the key.

    A verdict is that the request was handed to the upstream, that it was not and
    never will be, or unknown.
    """

    number: int
    verdicts: list


class Ping(NamedTuple):
    """Checks that the peer answers; the number is the sender's message level."""

    number: int


class Pong(NamedTuple):
    """Reply to a ping: its number plus the message level of the replying node."""

    number: int


class RulesRequest(NamedTuple):
    """Requests the cached rules.

    The reply has no text if ``known`` is the position of these rules in the
    order of revisions.
    """

    number: int
    known: int


class RulesReply(NamedTuple):
    """The cached rules; ``ready`` is true if the node admits requests by them."""

    number: int
    ready: bool
    revision: int
    operation: str
    author: str
    comment: str
    text: str
    era: int


class SyncRequest(NamedTuple):
    """Digest of the sender's membership view."""

    number: int
    digest: list


class SyncReply(NamedTuple):
    """Member records in which the views differ; not necessarily all of them."""

    number: int
    members: list


Message = (
    Challenge
    | Hello
    | Welcome
    | Call
    | Reply
    | Cancel
    | Fence
    | FenceKey
    | FenceReply
    | Ping
    | Pong
    | RulesRequest
    | RulesReply
    | SyncRequest
    | SyncReply
    | BurnRequest
    | BurnReply
    | EpochRequest
    | EpochReply
    | Run
    | RunReply
    | ConfigurationRequest
    | ConfigurationReply
    | RetirementsRequest
    | RetirementsReply
    | PersistRequest
    | PersistReply
    | BodyStart
    | BodyPart
    | BodyCredit
)

#: Messages that reply to a request by its number.
REPLIES = (
    RunReply,
    Reply,
    FenceReply,
    RulesReply,
    SyncReply,
    BurnReply,
    EpochReply,
    ConfigurationReply,
    RetirementsReply,
    PersistReply,
)

_KINDS: tuple[type, ...] = Message.__args__
_KIND_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_FIELD_TYPES = [tuple(kind.__annotations__.values()) for kind in _KINDS]
#: Number of fields at the end that are left out if the message has no report.
_REPORT_FIELDS = 4
_KINDS_WITH_REPORT = frozenset(map(_KIND_NUMBERS.__getitem__, (Run, RunReply)))
_KINDS_WITH_LONG_TEXT = {_KIND_NUMBERS[RulesReply]}
_pack = msgpack.Packer(autoreset=True).pack


def encode_message(message: Message) -> bytes:
    """Return a message as bytes.

    Examples
    ========

    >>> list(encode_message(Ping(5)))
    [146, 9, 5]
    """
    kind = _KIND_NUMBERS[type(message)]
    if kind in _KINDS_WITH_REPORT and not message.upstream:
        return _pack((kind, *message[:-_REPORT_FIELDS]))
    return _pack((kind, *message))


def decode_message(frame: Any) -> Message:
    """Return the message of an unpacked frame.

    Raises
    ======

    FrameError
        If the frame is not a message of this protocol.

    Examples
    ========

    >>> decode_message([9, 5])
    Ping(number=5)
    >>> decode_message([9, "x"])
    Traceback (most recent call last):
    ...
    rattanfork_node.peer.errors.FrameError: Ping.number: int expected
    """
    if type(frame) is not list or not frame:
        raise FrameError("a message must be a non-empty array")
    kind = frame[0]
    if type(kind) is not int or not 0 <= kind < len(_KINDS):
        raise FrameError("a message must start with the number of a known kind")
    types = _FIELD_TYPES[kind]
    fields = len(frame) - 1
    has_report = kind in _KINDS_WITH_REPORT
    if has_report and fields == len(types) - _REPORT_FIELDS:
        types = types[:fields]
    elif fields != len(types):
        raise FrameError(f"{_KINDS[kind].__name__}: wrong number of fields")
    for value, expected in zip(frame[1:], types, strict=True):
        if type(value) is not expected:
            raise _field_type_error(kind, frame)
    message = _KINDS[kind](*frame[1:])
    if kind not in _KINDS_WITH_LONG_TEXT:
        _check_bounds(message)
    return message


def _check_bounds(message: Message) -> None:
    if type(message) in (Call, Reply):
        headers = message.headers
        if len(headers) > _MAX_HEADERS:
            raise FrameError("too many headers")
        for pair in headers:
            if type(pair) is not list or len(pair) != 2:
                raise FrameError("a header must be a pair of strings")
            if type(pair[0]) is not str or type(pair[1]) is not str:
                raise FrameError("a header must be a pair of strings")
            if len(pair[0]) + len(pair[1]) > _MAX_TEXT_LENGTH:
                raise FrameError("header is too long")
    if type(message) is RunReply and any(
        type(s) is not str for s in message.services_reached
    ):
        raise FrameError("RunReply.services_reached: names of services must be strings")
    if type(message) in (Run, RunReply) and message.upstream:
        _check_report(message)
    if type(message) is Call and len(message.path) > _MAX_TEXT_LENGTH:
        raise FrameError("path is too long")


def _check_report(message: Run | RunReply) -> None:
    name = type(message).__name__
    if len(message.upstream) > _MAX_TEXT_LENGTH:
        raise FrameError(f"{name}.upstream: ID is too long")
    if message.born < 0:
        raise FrameError(f"{name}.born: must be at least 0")
    if not isfinite(message.rate_limit):
        raise FrameError(f"{name}.rate_limit: must be finite")


def _field_type_error(kind: int, frame: list) -> FrameError:
    name = _KINDS[kind].__name__
    annotations = _KINDS[kind].__annotations__
    for value, (field, expected) in zip(frame[1:], annotations.items(), strict=False):
        if type(value) is not expected:
            return FrameError(f"{name}.{field}: {expected.__name__} expected")
    return FrameError(f"{name}: wrong type")
