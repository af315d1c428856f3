"""The part of a service's instances that a node sends to."""

from collections.abc import Iterable

from rattanfork_core.hashing import hash64


def choose_subset(node: str, instances: Iterable[str], size: int) -> list[str]:
    """Return the instances that a node sends to, by rendezvous hashing.

    Explanation
    ===========

    At full size every node would otherwise keep a connection to every
    instance of every service it calls.  By rendezvous hashing the subset
    changes by one when one instance comes or goes, and nodes choose
    differently, so that all instances get their share.

    Examples
    ========

    >>> choose_subset("n1", ["a", "b"], 5)
    ['a', 'b']
    >>> len(choose_subset("n1", [str(i) for i in range(100)], 8))
    8
    """
    names = sorted(instances)
    if len(names) <= size:
        return names
    names.sort(key=lambda name: hash64(f"{node}|{name}"))
    return sorted(names[:size])
