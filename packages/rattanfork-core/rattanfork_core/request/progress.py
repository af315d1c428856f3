"""The place of a call in the order of shedding, by what was done for it."""

from math import floor

from rattanfork_core.request.importance import RANK_LIMIT

#: Parts of each importance within which requests that have gone further go first: one
#: for each importance of a route, where that of the account goes before it.
_CELLS = RANK_LIMIT


def rank_of_call(rank: float, succeeded: int) -> float:
    """Return the rank of a call, by the rank and the progress of the run that makes it.

    Explanation
    ===========

    A run that makes eight calls, one after another, loses all of them if one is shed.
    A threshold that falls a little while such runs are under way would break many of
    them half-way, and let in others from their start.  So among requests that matter
    alike, those go first for which more was done.

    Parameters
    ==========

    rank : float
        Rank of the run.
    succeeded : int
        Calls of the run that have succeeded.

    Examples
    ========

    >>> round(rank_of_call(1.58, 0), 3), round(rank_of_call(1.58, 2), 3)
    (1.58, 1.46)

    What matters more goes first, however little was done for it:

    >>> rank_of_call(1.39, 0) < rank_of_call(1.41, 7)
    True
    """
    cell = floor(rank * _CELLS) / _CELLS
    return cell + max(0.0, rank - cell) / (1 + succeeded)
