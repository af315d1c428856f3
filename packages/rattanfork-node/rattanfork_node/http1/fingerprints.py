"""Computes the fingerprint that identifies a request across nodes and attempts."""

import re
from collections.abc import Sequence

from rattanfork_core.request import request_fingerprint

#: Headers that identify a request.  Others, such as the request ID, may differ between
#: the attempts of one caller.
_IDENTIFYING_HEADERS = re.compile(
    rb"^(?:host|authorization):[ \t]*(.*?)\r$", re.I | re.M
)


def fingerprint_of(
    method: bytes,
    target: bytes,
    block: bytes,
    body: bytes | Sequence[bytes],
    account: str = "",
) -> int:
    r"""Return the fingerprint of a request.

    Parameters
    ==========

    method : bytes
        Request method.
    target : bytes
        Path and query.
    block : bytes
        Header lines, each ending in CRLF.
    body : bytes or sequence of bytes
        Request body, or its parts in order.
    account : str
        Name of the client account that sent the request; "" without one.

    Examples
    ========

    >>> block = b"Host: shop.example\r\nRequest-Id: 1\r\n"
    >>> again = b"Host: shop.example\r\nRequest-Id: 2\r\n"
    >>> first = fingerprint_of(b"GET", b"/a", block, b"")
    >>> first == fingerprint_of(b"GET", b"/a", again, b"")
    True
    >>> first == fingerprint_of(b"GET", b"/b", again, b"")
    False
    """
    values = _IDENTIFYING_HEADERS.findall(block)
    return request_fingerprint(method, target, body, account.encode(), *values)
