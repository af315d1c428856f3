"""How long a connection may rest and still be used."""

from rattanfork_core.clock import Clock

#: Part of the time for which an upstream says it keeps a connection: a request
#: that crosses the upstream's close may have run.
_KEEP_SHARE = 0.6
#: Seconds for which an idle connection is used if the upstream states none.
_KEEP_DEFAULT = 4.0
#: Seconds after which no connection carries what may run only once.  Something
#: between the two ends forgets connections after as little as 0.3 s without a
#: word; a third of that is left for what is shorter still.  An upstream that
#: gets ten requests a second has a fresher connection at nearly all times, so
#: few are opened for it.
_ONCE_REST = 0.1
#: Part of the rest after which a connection was found dead up to which others
#: are still used, the least such time, and the seconds in which it doubles
#: again: what forgets connections may be gone.
_STALE_SHARE = 0.5
_LEAST_REST = 0.05
_DOUBLES_IN = 10.0


class IdleLimit:
    """How long a connection to one upstream may rest and still be used.

    Explanation
    ===========

    A connection that the other end, or a device between, has forgotten looks
    whole until something is sent on it; then it is reset, and nobody can say
    whether the request ran.  A read is sent once more, from a budget.  What
    may run only once fails, so it never travels on a connection that has
    rested; for reads the time is learned from the resets that are seen.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> limit = IdleLimit(clock)
    >>> limit.max_idle(keep_alive_timeout=10.0, retryable=True)
    6.0
    >>> limit.max_idle(keep_alive_timeout=10.0, retryable=False)
    0.1
    >>> limit.on_stale(idle=1.0)
    >>> limit.max_idle(keep_alive_timeout=10.0, retryable=True)
    0.5
    >>> clock.advance(20)
    >>> limit.max_idle(keep_alive_timeout=10.0, retryable=True)
    2.0
    """

    __slots__ = ("_clock", "_learned", "_learned_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._learned: float | None = None
        self._learned_at = 0.0

    def on_stale(self, idle: float) -> None:
        """Take note that a connection was found dead after a rest in seconds."""
        self._learned = max(_LEAST_REST, _STALE_SHARE * idle)
        self._learned_at = self._clock.now()

    def max_idle(self, keep_alive_timeout: float | None, retryable: bool) -> float:
        """Return the longest rest of a connection to use.

        Parameters
        ==========

        promised : float or None
            Seconds for which the upstream says it keeps the connection.
        repeatable : bool
            Whether the request may be sent again after a reset.
        """
        limit = (
            _KEEP_DEFAULT
            if keep_alive_timeout is None
            else _KEEP_SHARE * keep_alive_timeout
        )
        if self._learned is not None:
            limit = min(limit, self._learned_now(limit))
        return limit if retryable else min(limit, _ONCE_REST)

    def _learned_now(self, enough: float) -> float:
        doublings = (self._clock.now() - self._learned_at) / _DOUBLES_IN
        learned = self._learned * 2.0 ** min(doublings, 32.0)
        if learned >= enough:
            self._learned = None
        return learned
