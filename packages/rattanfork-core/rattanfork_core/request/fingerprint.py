"""Recognizes a request that is sent again under another ID."""

from xxhash import xxh3_64

#: Bytes in which the length of a part is hashed with it.
_LENGTH_BYTES = 8


def request_fingerprint(*parts: bytes) -> int:
    """Return a 64-bit hash of what a request asks for.

    Explanation
    ===========

    A caller that tries again sends a new request ID, at any node.  The fingerprint
    of both attempts is the same, at every node.  Not for secrets: who chooses the
    request can choose the fingerprint.

    Parameters
    ==========

    parts : bytes
        What makes two requests the same, in a fixed order, such as method, host,
        path and body.

    Examples
    ========

    >>> first = request_fingerprint(b"GET", b"shop.example", b"/receipts/7", b"")
    >>> first == request_fingerprint(b"GET", b"shop.example", b"/receipts/7", b"")
    True
    >>> first == request_fingerprint(b"GET", b"shop.example", b"/receipts", b"/7")
    False
    """
    digest = xxh3_64()
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.intdigest()


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as log lines and commands show it.

    Examples
    ========

    >>> format_fingerprint(255)
    '00000000000000ff'
    """
    return f"{fingerprint:016x}"
