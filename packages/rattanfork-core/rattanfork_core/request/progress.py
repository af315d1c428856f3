"""Rank of the calls of a run, by the number of its calls that have succeeded.

A *run* is the execution of a request at an upstream.
"""

from math import floor

from rattanfork_core.request.importance import RANK_LIMIT

#: Equal intervals into which each importance is divided; progress reorders calls only
#: within an interval.  With client accounts, the integer part of a rank is the
#: account's importance and the interval within it the route's.
_INTERVALS = RANK_LIMIT


def rank_of_call(rank: float, succeeded: int) -> float:
    """Return the rank of a call, from the rank and progress of the run that makes it.

    Explanation
    ===========

    If one of the sequential calls of a run is shed, the work of all calls before it
    is wasted.  A threshold that falls slightly while such runs are in progress would
    abort many of them midway and admit new ones.  Among requests of the same
    importance, calls of runs that have made more progress are therefore shed later.

    Parameters
    ==========

    rank : float
        Rank of the run.
    succeeded : int
        Number of calls of the run that have succeeded.

    Examples
    ========

    >>> round(rank_of_call(1.58, 0), 3), round(rank_of_call(1.58, 2), 3)
    (1.58, 1.46)

    Progress never lifts a call above one of higher importance:

    >>> rank_of_call(1.39, 0) < rank_of_call(1.41, 7)
    True
    """
    interval_start = floor(rank * _INTERVALS) / _INTERVALS
    return interval_start + max(0.0, rank - interval_start) / (1 + succeeded)
