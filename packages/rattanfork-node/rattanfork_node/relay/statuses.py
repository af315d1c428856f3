"""Route path: statuses of final responses, and what they say to the caller."""

from rattanfork_core.request import Outcome, Reason

#: Status of a request that did not run and will not run.
NOT_RUN_STATUS = 503
#: Statuses that guarantee to the caller that its request did not run and never will.
_GUARANTEED_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Status without a response of an upstream, if the request may have run: after the
#: deadline, and otherwise.
_TIMEOUT_STATUS = 504
UNKNOWN_STATUS = 502


def status_without_response(outcome: Outcome, reason: Reason) -> int:
    """Return the status of a request that no upstream has answered.

    Examples
    ========

    >>> status_without_response(Outcome.UNKNOWN, Reason.DEADLINE)
    504
    """
    if outcome is Outcome.NOT_RUN:
        return NOT_RUN_STATUS
    return _TIMEOUT_STATUS if reason is Reason.DEADLINE else UNKNOWN_STATUS


def status_of_response(status: int, idempotent: bool) -> int:
    """Return the status with which the response of an upstream is passed on.

    Explanation
    ===========

    An upstream that did not run a request says so by a header or by 421, and its
    response is not passed on.  Any other response came from a run, which may have
    done part of its work before it failed, for example because a call was refused.
    To a caller the same status would guarantee that nothing ran, so it would send a
    request that must not run twice again.  Such a status becomes 502.

    Parameters
    ==========

    status : int
        Status of the upstream's response.
    idempotent : bool
        Whether the request may run more than once.

    Examples
    ========

    >>> status_of_response(503, idempotent=False), status_of_response(503, True)
    (502, 503)
    >>> status_of_response(500, idempotent=False)
    500
    """
    if status in _GUARANTEED_NOT_RUN_STATUSES and not idempotent:
        return UNKNOWN_STATUS
    return status
