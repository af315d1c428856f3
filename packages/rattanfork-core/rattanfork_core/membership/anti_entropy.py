"""Digests by which two nodes find the differences of their views."""

from collections.abc import Iterable

from rattanfork_core.hashing import hash64
from rattanfork_core.membership.member import Member

BUCKETS = 128


def bucket_of(name: str) -> int:
    """Return the number of the bucket that holds a member."""
    return hash64(name) % BUCKETS


class BucketDigest:
    """Digest of a membership view, divided into buckets by the hash of the name.

    Explanation
    ===========

    Datagrams with updates may be lost.  So pairs of nodes regularly compare the
    digests of their views, and exchange the records of those buckets that differ.
    The digest of a bucket is the exclusive or of the hashes of its records, so a
    record is added or removed without looking at the others.

    Examples
    ========

    >>> a = Member("a", "b", "s", "dc", "127.0.0.1", 1, 2, 8)
    >>> full, empty = BucketDigest([a]), BucketDigest([])
    >>> full.differing(empty.values) == [bucket_of(a.name)]
    True
    """

    def __init__(self, members: Iterable[Member]) -> None:
        self._values = [0] * BUCKETS
        for member in members:
            self.toggle(member)

    @property
    def values(self) -> list[int]:
        """Digests of the buckets, by bucket number."""
        return self._values

    def toggle(self, member: Member) -> None:
        """Add a record, or remove one that was added before."""
        text = f"{member.name}|{member.incarnation}|{member.status}"
        self._values[bucket_of(member.name)] ^= hash64(text)

    def differing(self, other: list[int]) -> list[int]:
        """Return the numbers of the buckets in which another view differs."""
        pairs = zip(self._values, other, strict=False)
        return [i for i, (own, others) in enumerate(pairs) if own != others]
