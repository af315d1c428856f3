"""Maximum idle time of a connection that is reused for a request."""

from rattanfork_core.clock import Clock

#: Share of the upstream's keep-alive timeout for which an idle connection is used.  A
#: request sent while the upstream closes the connection may or may not have run.
_KEEP_ALIVE_SHARE = 0.6
#: Maximum idle time in seconds if the upstream states no keep-alive timeout.
_DEFAULT_MAX_IDLE_SECONDS = 4.0
#: Maximum idle time in seconds for a request that must not run twice.  Devices between
#: node and upstream drop idle connections after as little as 0.3 s; the limit is a
#: third of that as a margin, as a busy node reads responses late.
_NON_RETRYABLE_MAX_IDLE_SECONDS = 0.1
#: Maximum time since the last request was sent, in seconds, that also allows a request
#: that must not run twice.  The connection cannot have been idle for longer than that,
#: however late its response was read, so a smaller margin to 0.3 s is enough.
_NON_RETRYABLE_MAX_SINCE_SENT_SECONDS = 0.25
#: Share of the idle time of a stale connection that becomes the limit, and its lower
#: bound in seconds.
_STALE_SHARE = 0.5
_MIN_LEARNED_SECONDS = 0.05
#: Time in which a learned limit doubles, as the cause of the resets may be gone.
_DOUBLING_SECONDS = 10.0
#: Seconds from a reset to the first retryable request that is sent on a connection
#: idle for longer than the learned limit, and the maximum after further resets, each
#: of which doubles it: a device that drops connections for 6 s then resets about four
#: requests.
_PROBE_SECONDS = 1.0
_MAX_PROBE_SECONDS = 8.0


class IdleLimit:
    """Decides how long a connection to one upstream may be idle and still be reused.

    Explanation
    ===========

    A connection that the upstream or a device in between has dropped appears open until
    a request is sent on it.  Then it is reset, and it is unknown whether the request
    ran.  A retryable request is sent once more, within the retry budget; the limit for
    such requests is learned from the resets.  A request that must not run twice would
    fail, so it is sent only on connections that have hardly been idle.

    An upstream that fails may also reset a connection that was not stale.  A second
    after a reset, a retryable request therefore probes a connection that has been idle
    for longer than the learned limit.  If it works, its idle time becomes the limit; if
    it had been idle for as long as the connection that was reset, there is no limit.

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

    __slots__ = (
        "_clock",
        "_learned",
        "_learned_at",
        "_stale_idle",
        "_stale_at",
        "_probe_at",
        "_probe_interval",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Limit learned from resets, in seconds, and when it was learned.
        self._learned: float | None = None
        self._learned_at = 0.0
        #: Shortest idle time of the connections that were reset since the limit is in
        #: force, and when the last of them was.
        self._stale_idle = 0.0
        self._stale_at = 0.0
        #: When the next probe may be sent.
        self._probe_at = 0.0
        self._probe_interval = _PROBE_SECONDS

    @property
    def restricted(self) -> bool:
        """Whether a limit learned from a reset is in force."""
        return self._learned is not None

    @property
    def probe_above(self) -> tuple[float, float] | None:
        """Idle times in seconds above which to probe a connection; None if not due.

        A connection that works ends the limit if it is above the first, and raises it
        if it is above the second.
        """
        now = self._clock.now()
        if self._learned is None or now < self._probe_at:
            return None
        return self._stale_idle, self._learned_at_time(now)

    def on_stale(self, idle: float) -> None:
        """Record that a connection was reset on use after an idle time in seconds."""
        now = self._clock.now()
        learned = _STALE_SHARE * idle
        if self._learned is None:
            self._probe_interval = _PROBE_SECONDS
            self._stale_idle = idle
        else:
            self._stale_idle = min(self._stale_idle, idle)
            learned = min(learned, self._learned_at_time(now))
            self._probe_interval = min(2 * self._probe_interval, _MAX_PROBE_SECONDS)
        self._learned = max(_MIN_LEARNED_SECONDS, learned)
        self._learned_at = self._stale_at = now
        self._probe_at = now + self._probe_interval

    def on_probe(self) -> None:
        """Record that a request is sent on a connection above the learned limit."""
        self._probe_at = self._clock.now() + self._probe_interval

    def on_worked(self, idle: float, sent_at: float) -> None:
        """Record a response to a request sent at a time on an idle connection.

        Parameters
        ==========

        idle : float
            Seconds for which the connection had been idle before the request.
        sent_at : float
            When the request was sent, in seconds of the clock.
        """
        if self._learned is None or sent_at < self._stale_at:
            return
        now = self._clock.now()
        if idle >= self._stale_idle:
            self._learned = None
        elif idle > self._learned_at_time(now):
            self._learned = idle
            self._learned_at = now

    def max_idle(self, keep_alive_timeout: float | None, retryable: bool) -> float:
        """Return the maximum idle time of a connection to reuse, in seconds.

        Parameters
        ==========

        keep_alive_timeout : float or None
            Seconds for which the upstream keeps an idle connection, if it states it.
        retryable : bool
            Whether the request may be sent again after a reset.
        """
        limit = self.unlearned(keep_alive_timeout)
        if self._learned is not None:
            limit = min(limit, self._relaxed_limit(limit))
        return limit if retryable else min(limit, _NON_RETRYABLE_MAX_IDLE_SECONDS)

    def max_since_sent(self, keep_alive_timeout: float | None) -> float:
        """Return the time since the last request in which a connection is not stale.

        Within this time, in seconds, a connection may carry a request that must not
        run twice even if it has been idle for longer than :meth:`max_idle`.
        """
        limit = self.max_idle(keep_alive_timeout, retryable=True)
        return min(limit, _NON_RETRYABLE_MAX_SINCE_SENT_SECONDS)

    @staticmethod
    def unlearned(keep_alive_timeout: float | None) -> float:
        """Return the maximum idle time if no connection was reset, in seconds."""
        return (
            _DEFAULT_MAX_IDLE_SECONDS
            if keep_alive_timeout is None
            else _KEEP_ALIVE_SHARE * keep_alive_timeout
        )

    def _relaxed_limit(self, upper_bound: float) -> float:
        """Return the learned limit now; forget it once it exceeds an upper bound."""
        learned = self._learned_at_time(self._clock.now())
        if learned >= upper_bound:
            self._learned = None
        return learned

    def _learned_at_time(self, now: float) -> float:
        doublings = (now - self._learned_at) / _DOUBLING_SECONDS
        return self._learned * 2.0 ** min(doublings, 32.0)
