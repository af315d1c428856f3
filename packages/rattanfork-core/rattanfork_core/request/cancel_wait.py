"""How long before its deadline a request is cancelled to learn its outcome."""

#: Seconds before the deadline at which the attempt in progress is cancelled, so that
#: the reply of its gate arrives in time.  Nodes are 0.5 ms apart; the rest allows for
#: event loops that are tens of milliseconds behind under load.
CANCEL_LEAD_S = 0.05
#: Longest part of the time that a request has in total.  Without it, a request with a
#: timeout of 0.1 s would lose half of its time.
_MAX_LEAD_SHARE = 0.1
#: Seconds for which a reply is awaited at least, after an event loop that was late.
#: The reply may have arrived already, but is read after the timers have run.
_MIN_WAIT_S = 0.005


def cancel_lead(time_left: float) -> float:
    """Return how long before the deadline an attempt is cancelled, in seconds.

    Parameters
    ==========

    time_left : float
        Seconds between the arrival of the request and its deadline.

    Examples
    ========

    >>> cancel_lead(2.0), cancel_lead(0.25)
    (0.05, 0.025)
    """
    return min(CANCEL_LEAD_S, _MAX_LEAD_SHARE * time_left)


def reply_wait(time_left: float) -> float:
    """Return how long to wait for the reply to a cancel, in seconds.

    Parameters
    ==========

    time_left : float
        Seconds until the deadline; negative after it.

    Examples
    ========

    >>> reply_wait(0.02), reply_wait(-0.3), reply_wait(3.0)
    (0.02, 0.005, 0.05)
    """
    return min(CANCEL_LEAD_S, max(_MIN_WAIT_S, time_left))
