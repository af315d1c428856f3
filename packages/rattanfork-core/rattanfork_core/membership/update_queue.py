"""News on its way to other members."""

from itertools import islice
from math import ceil, log2

from rattanfork_core.membership.member import Member, MemberStatus

#: Rumours at the head of the queue among which the most urgent are chosen.
_SORTED = 64


class UpdateQueue:
    """Rumours, each told a number of times that grows with the logarithm.

    Explanation
    ===========

    A message carries a bounded number of rumours, so that the cost of a node
    does not grow with the fleet or with what happens in it.  Rumours told
    least go first, and leaving goes before all else: it is the one that
    stops new work.

    Examples
    ========

    >>> queue = UpdateQueue(multiplier=1)
    >>> a = Member("a", "b", "s", "dc", "127.0.0.1", 1, 2, 8)
    >>> queue.add(a, members=2)
    >>> [m.instance for m in queue.take(6)], len(queue)
    (['a'], 1)
    >>> queue.take(6) and len(queue)
    0
    """

    def __init__(self, multiplier: float = 3.0) -> None:
        self._multiplier = multiplier
        self._rumours: dict[str, list] = {}

    def __len__(self) -> int:
        return len(self._rumours)

    def add(self, member: Member, members: int) -> None:
        """Take in news, in place of older news of the same member."""
        times = ceil(self._multiplier * log2(members + 2))
        self._rumours[member.name] = [times, member]

    def take(self, most: int) -> tuple[Member, ...]:
        """Return the rumours for one message, and count them as told."""
        if not self._rumours:
            return ()
        # Only the head of a long queue is sorted: after a split heals there
        # may be thousands of rumours, and this runs for every datagram.
        entries = list(islice(self._rumours.items(), _SORTED))
        entries.sort(key=_urgency)
        taken = entries[:most]
        for name, entry in taken:
            entry[0] -= 1
            del self._rumours[name]
            if entry[0] > 0:
                self._rumours[name] = entry
        return tuple(entry[1] for _, entry in taken)


def _urgency(item: tuple[str, list]) -> tuple[bool, int]:
    times, member = item[1]
    return (member.status != MemberStatus.LEAVING, -times)
