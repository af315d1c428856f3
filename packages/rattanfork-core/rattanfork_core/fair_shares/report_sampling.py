"""Reports of a node's counted requests, bounded by sampling."""

from collections.abc import Mapping
from math import ceil
from random import Random

from rattanfork_core.fair_shares.messages import MAX_REPORTED_ACCOUNTS, DemandReport

#: Accounts that the reports of one importance contain on average at most, and
#: datagrams that they take at most.
_MEAN_ACCOUNTS = 64
_MAX_DATAGRAMS = 5


def sample_reports(
    importance: int,
    admitted: int,
    counts: Mapping[int, int],
    quantum: int,
    random: Random,
) -> list[DemandReport]:
    """Return the reports of counted requests, of at most 16 accounts each.

    Explanation
    ===========

    Counts from the quantum on are reported as they are.  A lower one is reported as
    the quantum, with the probability ``count / quantum``: its expected value is right,
    so an account that sends a little at each of many nodes has the same total as one
    that sends as much at one node [1]_.  With many accounts, the quantum is raised
    until the reports fit.

    Parameters
    ==========

    importance : int
        Importance of the requests.
    admitted : int
        Share that the lowest threshold admits, in thousandths.
    counts : mapping
        Number of requests of each account.
    quantum : int
        Least count that is always reported; 1 reports all.
    random : Random
        Source of the draws.

    Examples
    ========

    >>> sample_reports(2, 900, {7: 1, 9: 30}, 1, Random(1))
    [DemandReport(importance=2, admitted=900, demands=((7, 1), (9, 30)))]
    >>> reports = sample_reports(2, 900, dict.fromkeys(range(4000), 5), 1, Random(1))
    >>> len(reports), reports[0].demands[0][1]
    (5, 313)

    References
    ==========

    .. [1] Duffield, Lund, Thorup, "Learn more, sample less", 2005.
    """
    if len(counts) > _MEAN_ACCOUNTS:
        quantum = max(quantum, ceil(sum(counts.values()) / _MEAN_ACCOUNTS))
    drawn = [
        (account, max(count, quantum))
        for account, count in counts.items()
        if count >= quantum or random.random() * quantum < count
    ]
    most = MAX_REPORTED_ACCOUNTS * _MAX_DATAGRAMS
    if len(drawn) > most:
        drawn = random.sample(drawn, most)
    return [
        DemandReport(
            importance, admitted, tuple(drawn[start : start + MAX_REPORTED_ACCOUNTS])
        )
        for start in range(0, len(drawn), MAX_REPORTED_ACCOUNTS)
    ]
