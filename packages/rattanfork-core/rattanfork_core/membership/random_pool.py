"""A set of names that can be sampled in constant time."""

from random import Random


class RandomPool:
    """Set of names with addition, removal and sampling in constant time.

    Explanation
    ===========

    Each probe and push samples a few members.  Building a list of 17,000 members
    to draw two of them would take a millisecond, many times a second.  Names are
    kept in a list, and a removed name is replaced by the last one.

    Examples
    ========

    >>> pool = RandomPool()
    >>> for name in "abc":
    ...     pool.add(name)
    >>> pool.discard("b")
    >>> sorted(pool.sample(Random(1), 5))
    ['a', 'c']
    """

    def __init__(self) -> None:
        self._names: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._positions

    def add(self, name: str) -> None:
        """Add a name; does nothing if it is in the set."""
        if name not in self._positions:
            self._positions[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name; does nothing if it is not in the set."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[position] = last
            self._positions[last] = position

    def sample(self, random: Random, count: int) -> list[str]:
        """Return up to ``count`` distinct names, drawn uniformly."""
        return random.sample(self._names, min(count, len(self._names)))
