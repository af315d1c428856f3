"""Messages by which a large request body is passed between nodes in parts."""

from typing import NamedTuple


class BodyStart(NamedTuple):
    """Announces that the body of run ``number`` follows in parts.

    It precedes the run, whose own body is empty.  The fingerprint is that of the
    request, which its gate can't compute before it has passed the body on.
    """

    number: int
    size: int
    fingerprint: int


class BodyPart(NamedTuple):
    """The next part of the body of run ``number``."""

    number: int
    data: bytes


class BodyCredit(NamedTuple):
    """Allows to send the body of run ``number`` up to an offset, in bytes."""

    number: int
    offset: int
