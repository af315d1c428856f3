"""Responses of an upstream, and what ends them early."""

from dataclasses import dataclass

REQUEST_ID = b"r1"
_ID = b"Id: r1\r\nStamp: s1\r\n"
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

#: What an upstream may send on the same connection after it broke off a response.
FURTHER_RESPONSES = {
    "success": b"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\nother",
    "without an ID": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "failure": b"HTTP/1.1 500 Error\r\nId: r1\r\nContent-Length: 0\r\n\r\n",
    "rejection": (
        b"HTTP/1.1 503 Busy\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
    ),
    "to another request": b"HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 0\r\n\r\n",
}


@dataclass(frozen=True)
class BreakableResponse:
    """A response that may end after each of its bytes.

    Parameters
    ==========

    head : bytes
        Interim responses and the head.
    body : bytes
        The body with its framing.
    is_for_head : bool
        Whether the request's method is HEAD.
    is_until_close : bool
        Whether it ends with its connection.
    """

    head: bytes
    body: bytes = b""
    is_for_head: bool = False
    is_until_close: bool = False

    @property
    def data(self) -> bytes:
        """The whole response."""
        return self.head + self.body

    @property
    def certain_bytes(self) -> int:
        """Number of bytes with less than which it is certainly incomplete."""
        return len(self.head) if self.is_until_close else len(self.data)


def _head(lines: bytes, status: bytes = b"200 OK", interim: bytes = b"") -> bytes:
    return interim + b"HTTP/1.1 " + status + b"\r\n" + _ID + lines + b"\r\n"


_LENGTH = b"Content-Length: 5\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_CHUNKS = b"2\r\nwh\r\n3;a=b\r\nole\r\n0\r\n"
RESPONSES = {
    "length": BreakableResponse(_head(_LENGTH), b"whole"),
    "length, empty body": BreakableResponse(_head(b"Content-Length: 0\r\n")),
    "length, last connection": BreakableResponse(
        _head(_LENGTH + b"Connection: close\r\n"), b"whole"
    ),
    "chunks": BreakableResponse(_head(_CHUNKED), _CHUNKS + b"\r\n"),
    "trailer": BreakableResponse(
        _head(_CHUNKED + b"Trailer: Stamp\r\n"), _CHUNKS + b"Stamp: s2\r\n\r\n"
    ),
    "until close": BreakableResponse(_head(b""), b"whole", is_until_close=True),
    "interim": BreakableResponse(_head(_LENGTH, interim=_INTERIM), b"whole"),
    "two interim": BreakableResponse(
        _head(_CHUNKED, interim=b"HTTP/1.1 100 Continue\r\n\r\n" + _INTERIM),
        _CHUNKS + b"\r\n",
    ),
    "interim, until close": BreakableResponse(
        _head(b"", interim=_INTERIM), b"whole", is_until_close=True
    ),
    "no content": BreakableResponse(_head(b"", status=b"204 No Content")),
    "not modified": BreakableResponse(_head(b"", status=b"304 Not Modified")),
    "for HEAD": BreakableResponse(_head(_LENGTH), is_for_head=True),
    "for HEAD, interim": BreakableResponse(
        _head(b"", interim=_INTERIM), is_for_head=True
    ),
    "rejection": BreakableResponse(
        _head(b"Not-Run: 1\r\nContent-Length: 0\r\n", status=b"503 Busy")
    ),
    "failure": BreakableResponse(_head(_LENGTH, status=b"500 Error"), b"whole"),
    "no reason": BreakableResponse(_head(_LENGTH, status=b"200"), b"whole"),
}
#: Heads whose last lines are malformed.  None of them is a response at any byte.
MALFORMED = {
    name: _head(lines)
    for name, lines in {
        "no colon": b"Content-Length\r\n",
        "length is no number": b"Content-Length: 5x\r\n",
        "empty length": b"Content-Length: \r\n",
        "negative length": b"Content-Length: -5\r\n",
        "two lengths": _LENGTH + b"Content-Length: 7\r\n",
        "length and chunks": _LENGTH + _CHUNKED,
        "space in a name": b"Content Length: 5\r\n",
        "control character": b"A: b\x00c\r\n",
        "folded line": _LENGTH + b"A: b\r\n  c\r\n",
        "folded length": b"Content-Length: 1\r\n 5\r\n",
        "bare carriage return": b"A: b\rContent-Length: 5\r\n",
    }.items()
} | {"line feeds": _head(_LENGTH).replace(b"\r\n", b"\n")}
