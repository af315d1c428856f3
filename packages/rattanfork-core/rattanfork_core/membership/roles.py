"""Assignment of roles to members by rendezvous hashing."""

from collections.abc import Iterable
from heapq import nsmallest

from rattanfork_core.hashing import hash64


def holds_role(name: str, members: Iterable[str], role: str, count: int) -> bool:
    """Return whether a member is one of the ``count`` holders of a role.

    Explanation
    ===========

    Holders are the members with the lowest hashes of role and name, so every
    node computes them from its own view, without an election.  While views
    differ, a role may have a few holders too many or too few.  It must be one
    for which that is harmless, such as reading the table of rules.

    Parameters
    ==========

    name : str
        The member in question.
    members : iterable of str
        All candidates; ``name`` may be among them.
    role : str
        Name of the role; it is part of the hash.
    count : int
        Number of holders.

    Examples
    ========

    >>> names = [f"n{i}" for i in range(50)]
    >>> sum(holds_role(name, names, "read", 2) for name in names)
    2
    """
    own_hash = hash64(f"{role}|{name}")
    lower = 0
    for other in members:
        if other != name and hash64(f"{role}|{other}") < own_hash:
            lower += 1
            if lower >= count:
                return False
    return True


def role_holders(names: Iterable[str], role: str, count: int) -> list[str]:
    """Return the holders of a role, in the order in which they are assigned it.

    Examples
    ========

    >>> names = [f"n{i}" for i in range(50)]
    >>> holders = role_holders(names, "read", 2)
    >>> all(holds_role(name, names, "read", 2) for name in holders)
    True
    """
    return nsmallest(count, names, key=lambda name: hash64(f"{role}|{name}"))
