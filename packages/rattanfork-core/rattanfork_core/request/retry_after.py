"""``Retry-After`` of refused requests, with jitter and by rank."""

from random import Random

from rattanfork_core.request.importance import RANK_LIMIT


def jittered_retry_after(base: float, rank: float, random: Random) -> float:
    """Return the seconds after which a refused caller should retry.

    Explanation
    ===========

    Callers that are refused together and given the same time would retry together and
    be refused again.  The time is therefore drawn uniformly from ``base`` to three
    times ``base``, and grows with the rank, so that important requests are retried
    first.

    Parameters
    ==========

    base : float
        Shortest time, in seconds.
    rank : float
        Rank of the request.
    random : Random
        Source of the jitter.

    Examples
    ========

    >>> 1 <= jittered_retry_after(1.0, 2.5, Random(1)) <= 4.5
    True
    """
    rank_factor = 1.0 + 0.5 * rank / RANK_LIMIT
    return base * rank_factor * random.uniform(1.0, 3.0)
