"""Causes of new connections to an upstream."""

from enum import StrEnum


class NewConnectionCause(StrEnum):
    """Why a connection was opened, or why the one that it replaces was closed."""

    #: No connection was open, and none had been closed.
    FIRST = "first"
    #: All open connections were in use.
    NONE_IDLE = "none-idle"
    #: The idle connections had been idle for too long for a request that must not run
    #: twice.
    NOT_RETRYABLE = "not-retryable"
    #: The probe of the upstream opens connections of its own.
    PROBE = "probe"
    #: The replaced one had been idle for most of the upstream's keep-alive timeout.
    IDLE_TOO_LONG = "idle-too-long"
    #: The replaced one had been idle for longer than the limit learned from resets.
    MAY_BE_STALE = "may-be-stale"
    #: The replaced one was reset when a request was sent on it after an idle time.
    STALE = "stale"
    #: The run on the replaced one was cancelled.
    CANCELLED = "cancelled"
    #: The last response on the replaced one ended the connection.
    CONNECTION_CLOSE = "connection-close"
    #: The upstream closed the replaced one while it was idle.
    CLOSED_BY_UPSTREAM = "closed-by-upstream"
    #: The replaced one broke during a run, or the response on it was malformed.
    LOST = "lost"
    #: The replaced one was idle and made room in a full pool.
    POOL_FULL = "pool-full"


class ReplacementCauses:
    """Determines the causes of new connections of one pool.

    Explanation
    ===========

    A connection that is closed costs nothing until the pool needs as many again.  Then
    the new connection is attributed to the most recent close that has not been
    replaced yet.  If there is none, the pool grows beyond its previous size.

    Parameters
    ==========

    max_connections : int
        Maximum size of the pool; no more closes are remembered.

    Examples
    ========

    >>> causes = ReplacementCauses(max_connections=2)
    >>> str(causes.on_opened(open_connections=0))
    'first'
    >>> causes.on_closed(NewConnectionCause.CANCELLED)
    >>> str(causes.on_opened(open_connections=0))
    'cancelled'
    >>> str(causes.on_opened(open_connections=1))
    'none-idle'
    """

    __slots__ = ("_max_connections", "_closed")

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        #: Causes of the closes that have not been replaced, oldest first.
        self._closed: list[NewConnectionCause] = []

    def on_closed(self, cause: NewConnectionCause) -> None:
        """Record that a connection was closed."""
        if len(self._closed) >= self._max_connections:
            del self._closed[0]
        self._closed.append(cause)

    def on_opened(self, open_connections: int) -> NewConnectionCause:
        """Return the cause of a connection that is opened because none is idle.

        Parameters
        ==========

        open_connections : int
            Number of connections that are open already.
        """
        if self._closed:
            return self._closed.pop()
        return (
            NewConnectionCause.NONE_IDLE
            if open_connections
            else NewConnectionCause.FIRST
        )
