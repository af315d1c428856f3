"""Who does what only a few need to do."""

from collections.abc import Iterable
from heapq import nsmallest

from rattanfork_core.hashing import hash64


def on_duty(me: str, members: Iterable[str], duty: str, count: int) -> bool:
    """Return whether a member is among the few that do a duty.

    Explanation
    ===========

    Each node decides from its own view, without an election.  Views that
    differ for a while make a few too many or too few do the duty; it must be
    one where that does no harm, such as reading the table.

    Examples
    ========

    >>> names = [f"n{i}" for i in range(50)]
    >>> sum(on_duty(name, names, "read", 2) for name in names)
    2
    """
    mine = hash64(f"{duty}|{me}")
    before = 0
    for name in members:
        if name != me and hash64(f"{duty}|{name}") < mine:
            before += 1
            if before >= count:
                return False
    return True


def duty_group(names: Iterable[str], duty: str, count: int) -> list[str]:
    """Return the members that do a duty, in the order in which they are asked to.

    Examples
    ========

    >>> names = [f"n{i}" for i in range(50)]
    >>> group = duty_group(names, "read", 2)
    >>> [name for name in names if on_duty(name, names, "read", 2)] == sorted(group)
    True
    """
    return nsmallest(count, names, key=lambda name: hash64(f"{duty}|{name}"))
