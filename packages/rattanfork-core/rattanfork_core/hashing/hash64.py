"""A 64-bit hash of text."""

from xxhash import xxh3_64_intdigest


def hash64(text: str) -> int:
    """Return a 64-bit hash that is equal at every node.

    Not cryptographic: a text can be chosen to have a given hash.

    Examples
    ========

    >>> hash64("a") == hash64("a") != hash64("b")
    True
    """
    return xxh3_64_intdigest(text.encode())
