"""Requests for leases and quota tokens, and replies, sent between two nodes."""

from typing import NamedTuple

#: Exclusive upper bound of the integers in a message.
_INTEGER_LIMIT = 1 << 62
_MAX_NAME_CHARACTERS = 200


class LeaseRequest(NamedTuple):
    """Request for the receiver's configuration version and confirmation age.

    See :class:`~rattanfork_core.revision.ConfigurationLease`.
    """

    number: int


class LeaseReply(NamedTuple):
    """Version of the configuration in force, and the age of its confirmation.

    ``age`` is in milliseconds; :data:`UNKNOWN_AGE_MS` if it was never confirmed.
    """

    number: int
    version: int
    age: int


class QuotaRequest(NamedTuple):
    """Request for ``count`` tokens of a client account's quota.

    ``sender`` is the name of the requesting member.
    """

    number: int
    sender: str
    account: str
    count: int


class QuotaReply(NamedTuple):
    """Number of tokens issued, and milliseconds to wait before the next request."""

    number: int
    tokens: int
    wait: int


#: Requests and replies; a reply is sent to the source address of its request.
DirectMessage = LeaseRequest | LeaseReply | QuotaRequest | QuotaReply
DIRECT_MESSAGE_TYPES: tuple[type, ...] = (
    LeaseRequest,
    LeaseReply,
    QuotaRequest,
    QuotaReply,
)


def direct_message_from_fields(message_type: type, fields: tuple) -> DirectMessage:
    """Return the message of a type, made of the decoded fields.

    Raises
    ======

    ValueError
        If the number, a type or a range of the fields is wrong.

    Examples
    ========

    >>> direct_message_from_fields(LeaseReply, (1, 12, 350))
    LeaseReply(number=1, version=12, age=350)
    >>> direct_message_from_fields(LeaseReply, (1, 12, -1))
    Traceback (most recent call last):
    ...
    ValueError: LeaseReply.age: integer from 0 on expected
    """
    if len(fields) != len(message_type._fields):
        raise ValueError(f"{message_type.__name__}: wrong number of fields")
    for name, value in zip(message_type._fields, fields, strict=True):
        expected = message_type.__annotations__[name]
        if type(value) is not expected:
            raise ValueError(
                f"{message_type.__name__}.{name}: {expected.__name__} expected"
            )
        if expected is int and not 0 <= value < _INTEGER_LIMIT:
            raise ValueError(
                f"{message_type.__name__}.{name}: integer from 0 on expected"
            )
        if expected is str and len(value) > _MAX_NAME_CHARACTERS:
            raise ValueError(
                f"{message_type.__name__}.{name}: at most 200 characters expected"
            )
    return message_type(*fields)
