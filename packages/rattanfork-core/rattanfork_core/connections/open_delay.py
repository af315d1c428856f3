"""Delay before a new connection is opened while others are in use."""

from rattanfork_core.clock import Clock

#: Seconds to wait for a connection to become idle while the upstream refuses new ones.
_DELAY_SECONDS = 0.005
#: Seconds after a refusal in which further ones are likely.
_REFUSED_PERIOD_SECONDS = 0.5
#: Connections in use below which none is likely to become idle during the delay.
_MIN_IN_USE = 8


class OpenDelay:
    """Decides how long a request waits for a connection in use before one is opened.

    Explanation
    ===========

    An overloaded upstream accepts fewer connections and resets further ones, each with
    the request that was sent on it.  It is overloaded because others are in use, one of
    which becomes idle soon.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> delay = OpenDelay(ManualClock())
    >>> delay.delay(in_use=2), delay.delay(in_use=80)
    (0.0, 0.0)
    >>> delay.on_refused()
    >>> delay.delay(in_use=80)
    0.005
    """

    __slots__ = ("_clock", "_refused_until")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._refused_until = float("-inf")

    def on_refused(self) -> None:
        """Record that a connection was reset before its first response."""
        self._refused_until = self._clock.now() + _REFUSED_PERIOD_SECONDS

    def delay(self, in_use: int) -> float:
        """Return the seconds to wait; 0 to open a connection at once.

        Parameters
        ==========

        in_use : int
            Number of connections that carry requests.
        """
        if in_use < _MIN_IN_USE:
            return 0.0
        if self._clock.now() < self._refused_until:
            return _DELAY_SECONDS
        return 0.0
