"""How lately the configuration of a node is known to have been the newest."""

from math import inf

from rattanfork_core.clock import Clock

#: Requests to peers whose replies are awaited.
_MOST_AWAITED = 16


class ConfigurationLease:
    """Dates the newest proof that a node's configuration was the newest there is.

    Explanation
    ===========

    A key that was taken away must be refused some seconds later by every node, also
    by one that is partitioned, stood still, or whose store is silent.  So a node lets
    a key in only while a proof is recent that nothing newer had been accepted.

    A proof is dated by when it was *asked for*, on the node's own clock: from the
    store, or from a peer that replies how old its own proof is.  What a peer volunteers
    proves nothing, as a datagram may have waited unread while this node stood still.

    Parameters
    ==========

    clock : Clock
        Source of the current time; one that goes on while the machine is suspended.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock(10.0)
    >>> lease = ConfigurationLease(clock)
    >>> lease.age
    inf
    >>> lease.confirm(clock.now())
    >>> clock.advance(2.0)
    >>> lease.age
    2.0

    A peer's proof was a second old when it replied to a request made just now:

    >>> number = lease.start_request()
    >>> clock.advance(0.5)
    >>> lease.on_reply(number, 1.0)
    True
    >>> lease.age
    1.5

    References
    ==========

    .. [1] Gray, Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for
       Distributed File Cache Consistency", 1989.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_at = -inf
        self._number = 0
        self._asked: dict[int, float] = {}

    @property
    def age(self) -> float:
        """Seconds since nothing newer had been accepted; infinite if never known."""
        return self._clock.now() - self._confirmed_at

    def now(self) -> float:
        """Return the time by which proofs are dated."""
        return self._clock.now()

    def confirm(self, asked_at: float) -> None:
        """Take note that the store, asked at a time, held nothing newer."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def start_request(self) -> int:
        """Take note of a request to a peer; return its number."""
        self._number += 1
        self._asked[self._number] = self._clock.now()
        if len(self._asked) > _MOST_AWAITED:
            del self._asked[min(self._asked)]
        return self._number

    def on_reply(self, number: int, age: float) -> bool:
        """Take in the age of a peer's proof; return whether it was asked for.

        Only for a peer that holds nothing newer than this node.
        """
        asked_at = self._asked.pop(number, None)
        if asked_at is None or age < 0:
            return False
        self.confirm(asked_at - age)
        return True
