"""Deadline and retry tokens of one request at one node."""

from rattanfork_core.clock import Clock


class RequestBudget:
    """Deadline and remaining extra attempts of a request at this node.

    Explanation
    ===========

    Extra attempts are tokens, and their number never grows.  A downstream call
    receives a share of the remaining tokens, and its reply returns the unused
    ones.  A reply that claims more than the share is capped at the share, and
    the tokens of a call without a reply count as spent.  Hence the extra
    attempts in the whole call tree never exceed the budget of its root,
    whatever the depth and fan-out.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    deadline : float
        Time on ``clock`` by which the response must be sent, in seconds.
    attempts : int
        Extra attempts that this node may make or delegate.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> budget = RequestBudget(ManualClock(), deadline=2.0, attempts=3)
    >>> budget.delegate()
    2
    >>> budget.reclaim(delegated=2, unused=9)
    >>> budget.attempts
    3
    """

    __slots__ = ("_attempts", "_clock", "_deadline")

    def __init__(self, clock: Clock, deadline: float, attempts: int) -> None:
        self._clock = clock
        self._deadline = deadline
        self._attempts = max(0, attempts)

    @property
    def attempts(self) -> int:
        """Extra attempts left at this node."""
        return self._attempts

    @property
    def deadline(self) -> float:
        """Time on the clock by which the response must be sent, in seconds."""
        return self._deadline

    @property
    def time_left(self) -> float:
        """Seconds until the deadline; never negative."""
        return max(0.0, self._deadline - self._clock.now())

    @property
    def expired(self) -> bool:
        """Whether the deadline has passed."""
        return self._clock.now() >= self._deadline

    def spend(self) -> bool:
        """Use one extra attempt; return False if none is left."""
        if self._attempts < 1:
            return False
        self._attempts -= 1
        return True

    def delegate(self) -> int:
        """Remove and return the share of a downstream call: half, rounded up.

        The rest allows a retry at this hop if the call is lost together with
        its share.
        """
        share = (self._attempts + 1) // 2
        self._attempts -= share
        return share

    def reclaim(self, delegated: int, unused: int) -> None:
        """Put back the tokens that a downstream call did not use."""
        # A faulty peer may send a malformed or duplicate reply; accepting more
        # tokens than were delegated would exceed the root's retry limit.
        self._attempts += max(0, min(delegated, unused))
