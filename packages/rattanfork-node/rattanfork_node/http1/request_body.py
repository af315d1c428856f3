"""Large bodies: held once, in parts, and passed on a part at a time."""

from abc import ABC, abstractmethod
from collections.abc import Callable

#: Size of a body, in bytes, above which it is held and passed on in parts.
MAX_JOINED_BYTES = 512 << 10
#: Size of the parts that are passed on, in bytes.
PART_BYTES = 64 << 10


class BodyReader(ABC):
    """Reads one large body from its begin, for one attempt at its request."""

    #: Called when more can be read after :meth:`read` returned nothing.
    on_readable: Callable[[], None]

    @property
    @abstractmethod
    def size(self) -> int:
        """Size of the body, in bytes."""

    @property
    @abstractmethod
    def remaining(self) -> int:
        """Bytes that :meth:`read` has not returned yet."""

    @abstractmethod
    def read(self) -> bytes:
        """Return the next part; b"" at the end, or if more has yet to arrive."""

    def close(self) -> None:  # noqa: B027
        """Free what the reader holds; it is read no further."""


class BodyBuffer:
    """Collects a body as it is received.

    Explanation
    ===========

    Small parts are joined: a body that arrives in chunks of a few bytes would
    otherwise take a multiple of its size.

    Examples
    ========

    >>> buffer = BodyBuffer()
    >>> for part in (b"a", b"b", b"c"):
    ...     buffer.append(part)
    >>> buffer.size, buffer.take_parts(), buffer.size
    (3, [b'abc'], 0)
    """

    __slots__ = ("_parts", "_tail", "size")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._tail = bytearray()
        #: Bytes collected so far.
        self.size = 0

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self.size += len(data)
        if not self._tail and len(data) >= PART_BYTES:
            self._parts.append(data)
            return
        self._tail += data
        if len(self._tail) >= PART_BYTES:
            self._end_part()

    def take_parts(self) -> list[bytes]:
        """Return the parts, and keep none of them."""
        if self._tail:
            self._end_part()
        parts, self._parts = self._parts, []
        self.size = 0
        return parts

    def _end_part(self) -> None:
        self._parts.append(bytes(self._tail))
        self._tail = bytearray()


class HeldBody:
    """A body that this node has received whole.

    Parameters
    ==========

    parts : list of bytes
        The body, in order.

    Examples
    ========

    >>> body = HeldBody([b"abc", b"de"])
    >>> reader = body.open()
    >>> reader.read(), reader.read(), reader.read()
    (b'abc', b'de', b'')
    >>> body.discard()
    >>> body.open().read()
    b''
    """

    __slots__ = ("parts", "size")

    def __init__(self, parts: list[bytes]) -> None:
        self.parts = parts
        self.size = sum(map(len, parts))

    def __len__(self) -> int:
        return self.size

    def open(self) -> "HeldBodyReader":
        """Return a reader at the begin of the body."""
        return HeldBodyReader(self)

    def join(self) -> bytes:
        """Return the body in one piece."""
        return b"".join(self.parts)

    def discard(self) -> None:
        """Free the body; its readers return nothing more."""
        self.parts = []


class HeldBodyReader(BodyReader):
    """Reads a body that this node holds.

    Parameters
    ==========

    body : HeldBody
        The body.
    """

    __slots__ = ("_body", "_index", "_offset", "_read")

    def __init__(self, body: HeldBody) -> None:
        self._body = body
        self._index = 0
        #: Bytes of the current part that were returned.
        self._offset = 0
        self._read = 0
        self.on_readable = _ignore

    @property
    def size(self) -> int:
        """Size of the body, in bytes."""
        return self._body.size

    @property
    def remaining(self) -> int:
        """Bytes that :meth:`read` has not returned yet."""
        return self._body.size - self._read

    def read(self) -> bytes:
        """Return the next part; b"" at the end, or if the body was discarded."""
        parts = self._body.parts
        if self._index >= len(parts):
            return b""
        part = parts[self._index]
        data = part
        if self._offset or len(part) > PART_BYTES:
            data = part[self._offset : self._offset + PART_BYTES]
        self._offset += len(data)
        if self._offset == len(part):
            self._index += 1
            self._offset = 0
        self._read += len(data)
        return data


def _ignore() -> None:
    pass
