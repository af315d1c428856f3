"""What a node holds of the store, as its datagrams tell."""

from typing import NamedTuple

#: Milliseconds that stand for "never": longer than any node lives.
UNKNOWN_AGE_MS = 1 << 40


class CachedVersions(NamedTuple):
    """What a node holds of the store, and how lately it was seen to be the newest.

    Parameters
    ==========

    configuration : int
        Version of the configuration in force; 0 while there is none.
    rules : int
        Place of the rules in force among all revisions.
    confirmation_age_ms : int
        Milliseconds since the store held nothing newer, as far as the node knows;
        :data:`UNKNOWN_AGE_MS` if it does not know, or knows of something newer.

    Examples
    ========

    >>> CachedVersions.from_fields((7, 2, 350))
    CachedVersions(configuration=7, rules=2, confirmation_age_ms=350)
    >>> CachedVersions.from_fields((7, 2, -1))
    Traceback (most recent call last):
    ...
    ValueError: malformed versions
    """

    configuration: int = 0
    rules: int = 0
    confirmation_age_ms: int = UNKNOWN_AGE_MS

    @classmethod
    def from_fields(cls, fields: object) -> "CachedVersions":
        """Return what the fields of a datagram say.

        Raises
        ======

        ValueError
            If they are not three whole numbers from 0 on.
        """
        if not isinstance(fields, tuple) or len(fields) != len(cls._fields):
            raise ValueError("malformed versions")
        if not all(type(field) is int and field >= 0 for field in fields):
            raise ValueError("malformed versions")
        return cls(*fields)
