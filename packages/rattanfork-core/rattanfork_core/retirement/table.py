"""The retirements that a node knows, of its own upstream and those of others."""

from collections import OrderedDict
from collections.abc import Iterable

from rattanfork_core.retirement.retirement import Retirement


class RetirementTable:
    """The latest retirement of each upstream, in the whole fleet.

    Explanation
    ===========

    Each node keeps those of all instances, so that a node that restarts while the store
    is unavailable can ask any other.  Entries are only added, or replaced by one with a
    later start, so that merging them in any order gives the same table.

    Examples
    ========

    >>> table = RetirementTable()
    >>> table.add(Retirement("claims-1", "u1", 0)), table.add(
    ...     Retirement("claims-1", "u1", 1000)
    ... )
    (True, True)
    >>> table.add(Retirement("claims-1", "u1", 0))
    False
    >>> table.of_instance("claims-1")
    [Retirement(instance='claims-1', upstream='u1', born=1000)]
    """

    #: Bound on memory and on the size of a message that holds the whole table.
    MAX_ENTRIES = 4096

    def __init__(self) -> None:
        self._starts: OrderedDict[tuple[str, str], int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._starts)

    def covers(self, retirement: Retirement) -> bool:
        """Return whether a retirement, or a later one of its upstream, is known."""
        known = self._starts.get(retirement[:2])
        return known is not None and known >= retirement.born

    def start_of(self, instance: str, upstream: str) -> int | None:
        """Return the latest retired start of an upstream; None if none has left."""
        return self._starts.get((instance, upstream))

    def add(self, retirement: Retirement) -> bool:
        """Add a retirement; return whether it was new."""
        if self.covers(retirement):
            return False
        key = retirement[:2]
        self._starts[key] = retirement.born
        self._starts.move_to_end(key)
        if len(self._starts) > self.MAX_ENTRIES:
            self._starts.popitem(last=False)
        return True

    def merge(self, retirements: Iterable[Retirement]) -> list[Retirement]:
        """Add retirements; return those that were new."""
        return [retirement for retirement in retirements if self.add(retirement)]

    def of_instance(self, instance: str) -> list[Retirement]:
        """Return the retirements of an instance, the oldest first."""
        return [entry for entry in self.entries() if entry.instance == instance]

    def entries(self) -> list[Retirement]:
        """Return all retirements, the oldest first."""
        return [Retirement(*key, born) for key, born in self._starts.items()]
