"""Messages by which a large body is passed between nodes in parts."""

from typing import NamedTuple


class BodyStart(NamedTuple):
    """Announces that the body of run ``number``, or of its reply, follows in parts.

    It precedes the run or reply, whose own body is empty.  The fingerprint is that of
    the request, which its gate can't compute before it has passed the body on; it is 0
    for a reply.
    """

    number: int
    size: int
    fingerprint: int


class BodyPart(NamedTuple):
    """The next part of the body of run ``number`` or of its reply.

    An empty part tells that the rest of a reply's body was dropped.
    """

    number: int
    data: bytes


class BodyCredit(NamedTuple):
    """Allows to send the body of a run or reply up to an offset, in bytes."""

    number: int
    offset: int
