"""Subset of a service's instances that a node sends to."""

from collections.abc import Iterable

from rattanfork_core.hashing import hash64


def choose_subset(node: str, instances: Iterable[str], size: int) -> list[str]:
    """Return the instances that a node sends to, by rendezvous hashing.

    Explanation
    ===========

    The subset bounds the connections of a node, which would otherwise keep one to each
    instance of each service that it calls.  With rendezvous hashing the subset changes
    by at most one instance when one is added or removed, and each node has a different
    subset, so all instances get a similar share of the calls.

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
