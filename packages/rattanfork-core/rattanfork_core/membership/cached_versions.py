"""Versions of rules and configuration at a node, as sent on its datagrams."""

from typing import NamedTuple

#: Age in milliseconds that stands for "unknown"; longer than any node runs.
UNKNOWN_AGE_MS = 1 << 40


class CachedVersions(NamedTuple):
    """Versions of rules and configuration at a node, and when they were confirmed.

    Explanation
    ===========

    Rules and configuration are kept in the store and cached by each node.  Nodes
    send this on every probe and ack: a node that learns of a newer version fetches
    it from a peer, and one that learns of a recent confirmation need not poll the
    store itself.

    Parameters
    ==========

    configuration : int
        Version of the configuration in force; 0 while there is none.
    rules : int
        :attr:`RulesRecord.order` of the rules in force; 0 while there are none.
    confirmation_age_ms : int
        Milliseconds since the store was last known to hold nothing newer;
        :data:`UNKNOWN_AGE_MS` if that is unknown, or if another node has announced
        a newer version.

    Examples
    ========

    >>> CachedVersions.from_fields((7, 2, 350))
    CachedVersions(configuration=7, rules=2, confirmation_age_ms=350)
    >>> CachedVersions.from_fields((7, 2, -1))
    Traceback (most recent call last):
    ...
    ValueError: cached versions: three integers from 0 on expected
    """

    configuration: int = 0
    rules: int = 0
    confirmation_age_ms: int = UNKNOWN_AGE_MS

    @classmethod
    def from_fields(cls, fields: object) -> "CachedVersions":
        """Return the versions in a decoded datagram.

        Raises
        ======

        ValueError
            If the fields are not three integers from 0 on.
        """
        if not isinstance(fields, tuple) or len(fields) != len(cls._fields):
            raise ValueError("cached versions: three integers from 0 on expected")
        if not all(type(field) is int and field >= 0 for field in fields):
            raise ValueError("cached versions: three integers from 0 on expected")
        return cls(*fields)
