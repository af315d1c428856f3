"""When a refused caller should come back."""

from random import Random

from rattanfork_core.request.importance import RANK_LIMIT


def jittered_retry_after(base: float, rank: float, random: Random) -> float:
    """Return seconds after which a refused caller should come back.

    Explanation
    ===========

    Callers that are refused together and told the same time come back
    together and are refused again.  The time is therefore drawn uniformly
    from ``base`` to three times ``base``, and grows with the rank so that
    important callers come back first.

    Parameters
    ==========

    base : float
        Shortest time, in seconds.
    rank : float
        The request's place in the order of shedding.
    random : Random
        Source of the spread.

    Examples
    ========

    >>> 1 <= jittered_retry_after(1.0, 2.5, Random(1)) <= 4.5
    True
    """
    urgency = 1.0 + 0.5 * rank / RANK_LIMIT
    return base * urgency * random.uniform(1.0, 3.0)
