"""Which requests of one importance are shed first."""

from rattanfork_core.hashing import hash64
from rattanfork_core.request.importance import Importance

_SPAN = float(1 << 64)


def request_tiebreak(request_id: str) -> float:
    """Return a number in ``[0, 1)`` that depends on the request ID alone.

    Explanation
    ===========

    Shedding by coin at each of ``k`` calls of one screen lets whole screens
    through with probability ``p**k``.  Every node that sheds by this number
    instead keeps or drops all calls of one screen together, so whole screens
    succeed with probability ``p``.

    Examples
    ========

    >>> request_tiebreak("a") == request_tiebreak("a")
    True
    >>> 0 <= request_tiebreak("b") < 1
    True
    """
    return hash64(request_id) / _SPAN


def request_rank(importance: Importance, request_id: str) -> float:
    """Return the place of a request in the order of shedding.

    Requests with a higher rank are shed first; importance decides before
    fate does.

    Examples
    ========

    >>> low = request_rank(Importance.LOW, "x")
    >>> request_rank(Importance.CRITICAL, "y") < 1 <= 3 <= low < 4
    True
    """
    return importance + request_tiebreak(request_id)
