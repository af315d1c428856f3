"""What a node holds of the store, as its datagrams tell."""

from typing import NamedTuple

#: Milliseconds that stand for "never": longer than any node lives.
NEVER = 1 << 40


class HeldVersions(NamedTuple):
    """What a node holds of the store, and how lately it was seen to be the newest.

    Parameters
    ==========

    configuration : int
        Version of the configuration in force; 0 while there is none.
    rules : int
        Place of the rules in force among all revisions.
    confirmed : int
        Milliseconds since the store held nothing newer, as far as the node knows;
        :data:`NEVER` if it does not know, or knows of something newer.

    Examples
    ========

    >>> HeldVersions.from_fields((7, 2, 350))
    HeldVersions(configuration=7, rules=2, confirmed=350)
    >>> HeldVersions.from_fields((7, 2, -1))
    Traceback (most recent call last):
    ...
    ValueError: malformed versions
    """

    configuration: int = 0
    rules: int = 0
    confirmed: int = NEVER

    @classmethod
    def from_fields(cls, fields: object) -> "HeldVersions":
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
