"""Messages of the streams between nodes.

Each is a msgpack array: the number of its kind, then its fields in order.
Times are durations in milliseconds; no wall-clock time travels.
"""

from typing import Any, NamedTuple

import msgpack

from rattanfork_node.peer.errors import FrameError

PROTOCOL_VERSION = 4
#: Longest text in a message.
_LONGEST_TEXT = 16_384
_MOST_HEADERS = 200


class Challenge(NamedTuple):
    """First message of the side that accepts a connection."""

    version: int
    nonce: bytes


class Hello(NamedTuple):
    """Answer to a challenge; proves knowledge of the key."""

    version: int
    node: str
    connection: str
    nonce: bytes
    proof: bytes


class Welcome(NamedTuple):
    """The acceptor's proof, and who it is."""

    node: str
    data_centre: str
    proof: bytes


class Call(NamedTuple):
    """Run a request at the receiver's upstream.

    ``boot`` is the incarnation of the guard the sender means; ``rank`` the
    place in the order of shedding; ``key`` an idempotency key or "".
    """

    number: int
    boot: str
    operation: str
    method: str
    path: str
    headers: list
    body: bytes
    request_id: str
    caller: str
    importance: int
    rank: float
    time_left_ms: int
    attempts: int
    key: str
    idempotent: bool


class Reply(NamedTuple):
    """What a call came to; with the guard's threshold and epoch of keys."""

    number: int
    outcome: int
    reason: int
    status: int
    headers: list
    body: bytes
    unused_attempts: int
    retry_elsewhere: bool
    retry_after: int
    cut: float
    epoch: int


class Run(NamedTuple):
    """Run a request at the receiver's upstream; headers travel as bytes.

    ``boot`` is the incarnation of the guard the sender means, ``route`` the
    name of the request's route, ``block`` its header lines, ``rank`` its
    place in the order of shedding.  ``attempt`` counts what was sent for it;
    ``arrived`` tells whether an earlier attempt may have reached an upstream, and
    ``repeated`` whether the run that made it had been sent before.  ``account`` is the
    name of the client account that sent it, or "".
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
    arrived: bool
    attempt: int
    account: str


class RunReply(NamedTuple):
    """What a run came to, with the guard's threshold and load.

    ``busy`` counts the requests that wait or run at the guard; ``reach`` names the
    services that runs of the operation call, at any depth.
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
    reach: list


class ConfigurationRequest(NamedTuple):
    """Asks for the configuration held, if it is newer than ``known``."""

    number: int
    known: int


class ConfigurationReply(NamedTuple):
    """The configuration held, as its source wrote it.

    Without ``document`` it is not newer than what the asker knows.
    """

    number: int
    version: int
    document: bytes


class Cancel(NamedTuple):
    """A call is no longer wanted."""

    number: int


class Fence(NamedTuple):
    """Refuse all calls of a connection from now on; judge some of them."""

    number: int
    connection: str
    calls: list


class FenceKey(NamedTuple):
    """Refuse a key from now on, if it was not handed over."""

    number: int
    key: str


class FenceReply(NamedTuple):
    """The guard's word on each call or key."""

    number: int
    verdicts: list


class EpochRequest(NamedTuple):
    """Asks for the epoch in which keys are issued now."""

    number: int


class EpochReply(NamedTuple):
    """The guard's epoch of keys."""

    number: int
    epoch: int


class Ping(NamedTuple):
    """Heartbeat."""

    number: int


class Pong(NamedTuple):
    """Answer to a heartbeat."""

    number: int


class RulesRequest(NamedTuple):
    """Asks for the rules held; no text is sent if they stand at the place known."""

    number: int
    known: int


class RulesReply(NamedTuple):
    """The rules held; ``ready`` tells whether they can be relied on."""

    number: int
    ready: bool
    revision: int
    operation: str
    author: str
    comment: str
    text: str
    era: int


class SyncRequest(NamedTuple):
    """Digest of a view of the members."""

    number: int
    digest: list


class SyncReply(NamedTuple):
    """Records in which the receiver's view differs; more may follow."""

    number: int
    members: list


class BurnRequest(NamedTuple):
    """Asks for the totals of the burn report."""

    number: int


class BurnReply(NamedTuple):
    """Service, importance, rule, and good and bad for each window."""

    number: int
    totals: list


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
)

#: Messages that answer another by its number.
ANSWERS = (
    RunReply,
    Reply,
    FenceReply,
    RulesReply,
    SyncReply,
    BurnReply,
    EpochReply,
    ConfigurationReply,
)

_KINDS: tuple[type, ...] = Message.__args__
_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_TYPES = [tuple(kind.__annotations__.values()) for kind in _KINDS]
_LONG_FIELDS = {_NUMBERS[RulesReply]}
_pack = msgpack.Packer(autoreset=True).pack


def encode_message(message: Message) -> bytes:
    """Return a message as bytes.

    Examples
    ========

    >>> list(encode_message(Ping(5)))
    [146, 9, 5]
    """
    return _pack((_NUMBERS[type(message)], *message))


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
        raise FrameError("a message is an array")
    kind = frame[0]
    if type(kind) is not int or not 0 <= kind < len(_KINDS):
        raise FrameError("unknown kind of message")
    types = _TYPES[kind]
    if len(frame) != len(types) + 1:
        raise FrameError(f"{_KINDS[kind].__name__}: wrong number of fields")
    for value, expected in zip(frame[1:], types, strict=True):
        if type(value) is not expected:
            raise _wrong_type(kind, frame)
    message = _KINDS[kind](*frame[1:])
    if kind not in _LONG_FIELDS:
        _check_bounds(message)
    return message


def _check_bounds(message: Message) -> None:
    if type(message) in (Call, Reply):
        headers = message.headers
        if len(headers) > _MOST_HEADERS:
            raise FrameError("too many headers")
        for pair in headers:
            if type(pair) is not list or len(pair) != 2:
                raise FrameError("a header is a pair of texts")
            if type(pair[0]) is not str or type(pair[1]) is not str:
                raise FrameError("a header is a pair of texts")
            if len(pair[0]) + len(pair[1]) > _LONGEST_TEXT:
                raise FrameError("a header is too long")
    if type(message) is RunReply and any(type(s) is not str for s in message.reach):
        raise FrameError("the name of a service is a text")
    if type(message) is Call and len(message.path) > _LONGEST_TEXT:
        raise FrameError("the path is too long")


def _wrong_type(kind: int, frame: list) -> FrameError:
    name = _KINDS[kind].__name__
    annotations = _KINDS[kind].__annotations__
    for value, (field, expected) in zip(frame[1:], annotations.items(), strict=True):
        if type(value) is not expected:
            return FrameError(f"{name}.{field}: {expected.__name__} expected")
    return FrameError(f"{name}: wrong type")
