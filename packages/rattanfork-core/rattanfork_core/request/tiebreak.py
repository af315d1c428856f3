"""Shedding order of requests: importance, then a hash of the request ID."""

from rattanfork_core.hashing import hash64
from rattanfork_core.request.importance import Importance

_HASH_RANGE = float(1 << 64)


def request_tiebreak(request_id: str) -> float:
    """Return the position of a request among those of its importance.

    A number in ``[0, 1)`` that is a hash of the request ID alone.

    Explanation
    ===========

    If each of the ``k`` calls made for one request were shed at random, all of them
    would be admitted with probability ``p**k``.  As all nodes shed by this number,
    they admit or shed the calls of one request together, so requests succeed with
    probability ``p``.

    Examples
    ========

    >>> request_tiebreak("a") == request_tiebreak("a")
    True
    >>> 0 <= request_tiebreak("b") < 1
    True
    """
    return hash64(request_id) / _HASH_RANGE


def request_rank(importance: Importance, request_id: str) -> float:
    """Return the rank of a request: the higher, the earlier it is shed.

    The integer part is the importance; the fraction is the tiebreak among requests
    of the same importance.

    Examples
    ========

    >>> low = request_rank(Importance.LOW, "x")
    >>> request_rank(Importance.CRITICAL, "y") < 1 <= 3 <= low < 4
    True
    """
    return importance + request_tiebreak(request_id)
