"""Lease on the configuration: limits how long a node may use it unconfirmed."""

from math import inf

from rattanfork_core.clock import Clock

#: Maximum number of requests that await a reply; the oldest one is dropped first.
_MAX_PENDING_REQUESTS = 16


class ConfigurationLease:
    """Age of the last confirmation that no newer configuration had been accepted.

    Explanation
    ===========

    A revoked API key must be refused by every node within some seconds, also by one
    that is partitioned, was suspended, or gets no replies from the store.  So a node
    accepts keys only while it has a recent confirmation that its configuration was
    the newest.

    A confirmation counts from when it was *requested*, on the node's own clock.  It
    comes from the store, or from a peer that replies with the age of its own
    confirmation.  Unsolicited datagrams do not count: one may have waited in the
    socket's buffer while this node was suspended.

    Parameters
    ==========

    clock : Clock
        Source of the current time.  It must advance while the machine is suspended.

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

    Half a second after the request, a peer replies that its confirmation is 1 s old:

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
        self._last_number = 0
        self._pending: dict[int, float] = {}

    @property
    def age(self) -> float:
        """Seconds since the last confirmation; infinite if there was none."""
        return self._clock.now() - self._confirmed_at

    def now(self) -> float:
        """Return the current time of the clock of confirmations."""
        return self._clock.now()

    def confirm(self, requested_at: float) -> None:
        """Record that the store, polled at ``requested_at``, held nothing newer."""
        self._confirmed_at = max(self._confirmed_at, requested_at)

    def start_request(self) -> int:
        """Record a request to a peer; return its number."""
        self._last_number += 1
        self._pending[self._last_number] = self._clock.now()
        if len(self._pending) > _MAX_PENDING_REQUESTS:
            del self._pending[min(self._pending)]
        return self._last_number

    def on_reply(self, number: int, age: float) -> bool:
        """Record the age of a peer's confirmation; return whether it was requested.

        The caller must have checked that the peer's configuration is no newer than
        the one of this node.
        """
        requested_at = self._pending.pop(number, None)
        if requested_at is None or age < 0:
            return False
        self.confirm(requested_at - age)
        return True
