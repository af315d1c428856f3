"""Serializes HTTP/1.1 responses and request heads."""

from http import HTTPStatus

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in HTTPStatus
}
_STATUSES_WITHOUT_BODY = frozenset((204, 304))


def render_response_head(status: int, block: bytes, length: int, close: bool) -> bytes:
    r"""Return status line and headers of a response with a body of a length.

    Examples
    ========

    >>> render_response_head(200, b"A: b\r\n", 7, close=False)
    b'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 7\r\n\r\n'
    """
    line = _STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status
    length_line = (
        b"" if status in _STATUSES_WITHOUT_BODY else b"Content-Length: %d\r\n" % length
    )
    ending = b"Connection: close\r\n\r\n" if close else b"\r\n"
    return b"".join((line, block, length_line, ending))


def render_response(
    status: int, block: bytes, body: bytes, close: bool, for_head: bool = False
) -> bytes:
    r"""Return a response, with its body unless it answers a HEAD request.

    Examples
    ========

    >>> render_response(200, b"A: b\r\n", b"hi", close=True)
    b'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi'
    >>> render_response(204, b"", b"", close=False)
    b'HTTP/1.1 204 No Content\r\n\r\n'
    """
    head = render_response_head(status, block, len(body), close)
    return head if for_head else head + body


def render_head(
    method: bytes, target: bytes, block: bytes, body_length: int, extra: bytes
) -> bytes:
    r"""Return request line and headers, with Content-Length as the method needs it.

    Examples
    ========

    >>> render_head(b"GET", b"/a", b"Host: h\r\n", 0, b"")
    b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
    """
    length = b"Content-Length: %d\r\n" % body_length
    if not body_length and method in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        length = b""
    return b"".join(
        (method, b" ", target, b" HTTP/1.1\r\n", block, extra, length, b"\r\n")
    )
