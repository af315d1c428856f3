"""Choice among idle connections to an upstream."""

from bisect import bisect_left
from collections.abc import Sequence
from itertools import chain
from operator import attrgetter
from typing import Protocol

from rattanfork_core.connections.idle_limit import IdleLimit

#: Idle seconds up to which connections are left to requests that must not run twice,
#: as long as there are others.  With a lower value they open up to a quarter more new
#: connections; with 0.25 s, retryable requests use more connections that a device has
#: dropped after 0.3 s.
_RESERVED_IDLE_SECONDS = 0.2
#: Number of the most recently used connections that a request that must not run twice
#: chooses from.  It takes the one that will be unusable for others like it first; the
#: bound keeps the idle time low where many connections are idle.
_MAX_CANDIDATES = 4
_idle_since = attrgetter("idle_since")


class IdleConnection(Protocol):
    """What the choice depends on.

    Parameters
    ==========

    idle_since : float
        When the last response was complete, in seconds of the clock.
    sent_at : float
        When the last request was sent.
    keep_alive_timeout : float or None
        Seconds for which the upstream keeps an idle connection, if it states it.
    """

    idle_since: float
    sent_at: float
    keep_alive_timeout: float | None


def choose_idle(
    idle: Sequence[IdleConnection], now: float, retryable: bool, limit: IdleLimit
) -> int | None:
    """Return the index of the connection to use for a request; None for a new one.

    Explanation
    ===========

    Only connections that were used very recently may carry a request that must not run
    twice.  A retryable request therefore takes the most recently used of the others, if
    there are any; they are more likely to work than those that have been idle for the
    longest time.  While a limit learned from a reset is in force, some retryable
    requests probe whether it still holds.

    Parameters
    ==========

    idle : sequence of IdleConnection
        Idle connections, ordered by ``idle_since``.
    now : float
        The current time in seconds.
    retryable : bool
        Whether the request may be sent again after a reset.
    limit : IdleLimit
        Maximum idle times for this upstream.
    """
    if not retryable:
        for index in range(max(0, len(idle) - _MAX_CANDIDATES), len(idle)):
            if _may_carry_unretryable(idle[index], now, limit):
                return index
        return None
    if not idle:
        return None
    if limit.restricted and (index := _choose_probe(idle, now, limit)) is not None:
        limit.on_probe()
        return index
    reserved_since = now - _RESERVED_IDLE_SECONDS
    if idle[0].idle_since >= reserved_since:
        index = 0
    else:
        index = bisect_left(idle, reserved_since, key=_idle_since) - 1
    for candidate in chain(range(index, len(idle)), range(index)):
        connection = idle[candidate]
        idle_time = now - connection.idle_since
        if idle_time <= limit.max_idle(connection.keep_alive_timeout, True):
            return candidate
    return None


def _choose_probe(
    idle: Sequence[IdleConnection], now: float, limit: IdleLimit
) -> int | None:
    """Return the index of a connection above the learned limit, if a probe is due."""
    for idle_time in limit.probe_above or ():
        index = bisect_left(idle, now - idle_time, key=_idle_since) - 1
        if index >= 0:
            connection = idle[index]
            max_idle = limit.unlearned(connection.keep_alive_timeout)
            if now - connection.idle_since <= max_idle:
                return index
    return None


def _may_carry_unretryable(
    connection: IdleConnection, now: float, limit: IdleLimit
) -> bool:
    timeout = connection.keep_alive_timeout
    if now - connection.idle_since <= limit.max_idle(timeout, False):
        return True
    return now - connection.sent_at <= limit.max_since_sent(timeout)
