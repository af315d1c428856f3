"""Datagrams by which a node asks another for something, outside the protocol."""

from typing import NamedTuple

#: Largest figure in a datagram.
_MOST = 1 << 62
_LONGEST_NAME = 200


class LeaseRequest(NamedTuple):
    """Asks how lately the receiver's configuration is known to have been the newest."""

    number: int


class LeaseReply(NamedTuple):
    """The version held, and the milliseconds since it is known to have been the newest.

    ``age`` is :data:`UNKNOWN_AGE_MS` if that was never known.
    """

    number: int
    version: int
    age: int


class QuotaRequest(NamedTuple):
    """Asks for tokens of a client account; ``sender`` is the name of a member."""

    number: int
    sender: str
    account: str
    count: int


class QuotaReply(NamedTuple):
    """The tokens that were issued, and the milliseconds until there are more."""

    number: int
    tokens: int
    wait: int


#: Requests and their replies; each goes back to where its request came from.
DirectMessage = LeaseRequest | LeaseReply | QuotaRequest | QuotaReply
DIRECT_KINDS: tuple[type, ...] = (LeaseRequest, LeaseReply, QuotaRequest, QuotaReply)


def direct_message(kind: type, fields: tuple) -> DirectMessage:
    """Return the message of a decoded datagram.

    Raises
    ======

    ValueError
        If the fields are not those of the kind.

    Examples
    ========

    >>> direct_message(LeaseReply, (1, 12, 350))
    LeaseReply(number=1, version=12, age=350)
    >>> direct_message(LeaseReply, (1, 12, -1))
    Traceback (most recent call last):
    ...
    ValueError: LeaseReply.age: number from 0 on expected
    """
    if len(fields) != len(kind._fields):
        raise ValueError(f"{kind.__name__}: wrong number of fields")
    for name, value in zip(kind._fields, fields, strict=True):
        expected = kind.__annotations__[name]
        if type(value) is not expected:
            raise ValueError(f"{kind.__name__}.{name}: {expected.__name__} expected")
        if expected is int and not 0 <= value < _MOST:
            raise ValueError(f"{kind.__name__}.{name}: number from 0 on expected")
        if expected is str and len(value) > _LONGEST_NAME:
            raise ValueError(f"{kind.__name__}.{name}: too long")
    return kind(*fields)
