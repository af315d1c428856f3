"""The fingerprint of a request as it travels between nodes."""

import re

from rattanfork_core.request import request_fingerprint

#: Headers that tell two requests apart; others differ between attempts of one caller.
_TELLING = re.compile(rb"^(?:host|authorization):[ \t]*(.*?)\r$", re.I | re.M)


def fingerprint_of(
    method: bytes, target: bytes, block: bytes, body: bytes, account: str = ""
) -> int:
    r"""Return the fingerprint of a request.

    Parameters
    ==========

    method : bytes
        Its method.
    target : bytes
        Path and query.
    block : bytes
        Its header lines, each ending in CRLF.
    body : bytes
        The whole body.
    account : str
        Name of the client account that sends it; "" without one.

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
    telling = _TELLING.findall(block)
    return request_fingerprint(method, target, body, account.encode(), *telling)
