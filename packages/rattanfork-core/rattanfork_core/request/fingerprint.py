"""Fingerprints that identify a request sent again under another request ID."""

from collections.abc import Sequence

from xxhash import xxh3_64, xxh3_64_intdigest

#: Size of the length field that is hashed in front of each part.
_LENGTH_BYTES = 8


def request_fingerprint(*parts: bytes | Sequence[bytes]) -> int:
    """Return a 64-bit hash of the content of a request.

    Explanation
    ===========

    A caller that retries may use a new request ID and another node.  The fingerprint
    of both requests is the same at every node.  The hash is not cryptographic: a
    client can construct a request with a given fingerprint.

    Parameters
    ==========

    parts : bytes or sequence of bytes
        Everything that has to be equal for two requests to be the same, in a fixed
        order, such as method, host, path and body.  A sequence counts as one part, and
        is not joined in memory.

    Examples
    ========

    >>> first = request_fingerprint(b"GET", b"shop.example", b"/receipts/7", b"")
    >>> first == request_fingerprint(b"GET", b"shop.example", b"/receipts/7", b"")
    True
    >>> first == request_fingerprint(b"GET", b"shop.example", b"/receipts", b"/7")
    False
    >>> host = [b"shop", b".example"]
    >>> first == request_fingerprint(b"GET", host, b"/receipts/7", b"")
    True
    """
    if all(isinstance(part, bytes) for part in parts):
        chunks = [
            chunk
            for part in parts
            for chunk in (len(part).to_bytes(_LENGTH_BYTES, "big"), part)
        ]
        return xxh3_64_intdigest(b"".join(chunks))
    digest = xxh3_64()
    for part in parts:
        pieces = (part,) if isinstance(part, bytes) else part
        digest.update(sum(map(len, pieces)).to_bytes(_LENGTH_BYTES, "big"))
        for piece in pieces:
            digest.update(piece)
    return digest.intdigest()


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint in the hexadecimal form of log lines and commands.

    Examples
    ========

    >>> format_fingerprint(255)
    '00000000000000ff'
    """
    return f"{fingerprint:016x}"
