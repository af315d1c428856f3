"""Who does what only a few need to do."""

from collections.abc import Iterable
from heapq import nsmallest

from rattanfork_core.hashing import hash64


def holds_role(name: str, members: Iterable[str], role: str, count: int) -> bool:
    """Return whether a member is among the few that do a duty.

    Explanation
    ===========

    Each node decides from its own view, without an election.  Views that
    differ for a while make a few too many or too few do the duty; it must be
    one where that does no harm, such as reading the table.

    Examples
    ========

    >>> names = [f"n{i}" for i in range(50)]
    >>> sum(holds_role(name, names, "read", 2) for name in names)
    2
    """
    mine = hash64(f"{role}|{name}")
    before = 0
    for other in members:
        if other != name and hash64(f"{role}|{other}") < mine:
            before += 1
            if before >= count:
                return False
    return True


def role_holders(names: Iterable[str], role: str, count: int) -> list[str]:
    """Return the members that do a duty, in the order in which they are asked to.

    Examples
    ========

    >>> names = [f"n{i}" for i in range(50)]
    >>> group = role_holders(names, "read", 2)
    >>> [name for name in names if holds_role(name, names, "read", 2)] == sorted(group)
    True
    """
    return nsmallest(count, names, key=lambda name: hash64(f"{role}|{name}"))
