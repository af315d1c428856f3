"""Membership updates that are still to be sent to other members."""

from itertools import islice
from math import ceil, log2

from rattanfork_core.membership.member import Member, MemberStatus

#: Updates at the head of the queue that are sorted by priority.
_MAX_SORTED = 64


class UpdateQueue:
    """Queue of updates, each sent a number of times logarithmic in the fleet size.

    Explanation
    ===========

    This is the dissemination component of SWIM.  A datagram carries a bounded
    number of updates, so the cost of a node grows neither with the fleet nor
    with the rate of changes.  Updates of leaving members go first, as they stop
    new requests to these members; then those with the most transmissions left.

    Parameters
    ==========

    multiplier : float
        Transmissions of an update for each doubling of the fleet.

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
        self._updates: dict[str, list] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, member: Member, members: int) -> None:
        """Queue the record of a member, in place of an earlier one.

        ``members`` is the number of members known.
        """
        transmissions = ceil(self._multiplier * log2(members + 2))
        self._updates[member.name] = [transmissions, member]

    def take(self, limit: int) -> tuple[Member, ...]:
        """Return the updates for one datagram, and count them as sent."""
        if not self._updates:
            return ()
        # Only the head of a long queue is sorted: after a partition heals there
        # may be thousands of updates, and this runs for every datagram.
        entries = list(islice(self._updates.items(), _MAX_SORTED))
        entries.sort(key=_priority)
        taken = entries[:limit]
        for name, entry in taken:
            entry[0] -= 1
            del self._updates[name]
            if entry[0] > 0:
                self._updates[name] = entry
        return tuple(entry[1] for _, entry in taken)


def _priority(item: tuple[str, list]) -> tuple[bool, int]:
    transmissions_left, member = item[1]
    return (member.status != MemberStatus.LEAVING, -transmissions_left)
