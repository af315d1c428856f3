"""Route path: statuses of final responses, and what they say to the caller."""

from rattanfork_core.request import Outcome, Reason

#: Status of a request that did not run and will not run.
NOT_RUN_STATUS = 503
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
