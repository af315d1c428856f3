"""Comparison of two views without sending either."""

from collections.abc import Iterable

from rattanfork_core.hashing import hash64
from rattanfork_core.membership.member import Member

BUCKETS = 128


def bucket_of(name: str) -> int:
    """Return the bucket of a member."""
    return hash64(name) % BUCKETS


class BucketDigest:
    """Digest of a view, bucket by bucket.

    Explanation
    ===========

    Rumours may be lost.  Now and then two members compare the digests of
    their views and exchange only the buckets that differ.

    Examples
    ========

    >>> a = Member("a", "b", "s", "dc", "127.0.0.1", 1, 2, 8)
    >>> mine, theirs = BucketDigest([a]), BucketDigest([])
    >>> mine.differing(theirs.values) == [bucket_of(a.name)]
    True
    """

    def __init__(self, members: Iterable[Member]) -> None:
        self._values = [0] * BUCKETS
        for member in members:
            self.toggle(member)

    @property
    def values(self) -> list[int]:
        """One number for each bucket."""
        return self._values

    def toggle(self, member: Member) -> None:
        """Add a record, or take out one that was added."""
        text = f"{member.name}|{member.incarnation}|{member.status}"
        self._values[bucket_of(member.name)] ^= hash64(text)

    def differing(self, other: list[int]) -> list[int]:
        """Return the buckets in which another view differs."""
        pairs = zip(self._values, other, strict=False)
        return [i for i, (mine, theirs) in enumerate(pairs) if mine != theirs]
