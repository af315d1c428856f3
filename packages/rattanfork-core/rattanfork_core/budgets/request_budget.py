"""Deadline and extra attempts of one request at one node."""

from rattanfork_core.clock import Clock


class RequestBudget:
    """What a request may still spend at this node.

    Explanation
    ===========

    Extra attempts are tokens that are conserved.  A call to a deeper service
    is lent a share of what is left, and its reply brings back what it did
    not use.  Tokens are never made: a reply that claims to bring back more
    than was lent is cut to what was lent, and a share whose reply never
    comes is spent.  So the extra attempts made anywhere in the tree of calls
    are at most the grant of its root, whatever its depth and fan-out.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    deadline : float
        Time on ``clock`` by which the answer must be out, in seconds.
    attempts : int
        Extra attempts that this node may spend or lend.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> account = RequestBudget(ManualClock(), deadline=2.0, attempts=3)
    >>> account.delegate()
    2
    >>> account.reclaim(lent=2, unused=9)
    >>> account.attempts
    3
    """

    __slots__ = ("_attempts", "_clock", "_deadline")

    def __init__(self, clock: Clock, deadline: float, attempts: int) -> None:
        self._clock = clock
        self._deadline = deadline
        self._attempts = max(0, attempts)

    @property
    def attempts(self) -> int:
        """Extra attempts left here."""
        return self._attempts

    @property
    def deadline(self) -> float:
        """Time by which the answer must be out, in seconds of the clock."""
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
        """Spend one extra attempt; return whether there was one."""
        if self._attempts < 1:
            return False
        self._attempts -= 1
        return True

    def delegate(self) -> int:
        """Take out the share for one deeper call: half, rounded up.

        The other half stays for a retry at this hop, should the call and
        its share be lost together.
        """
        share = (self._attempts + 1) // 2
        self._attempts -= share
        return share

    def reclaim(self, lent: int, unused: int) -> None:
        """Return what a deeper call did not use of its share."""
        # A reply may be malformed or doubled by a faulty peer: tokens beyond
        # the loan would let the tree grow more retries than its root allowed.
        self._attempts += max(0, min(lent, unused))
