"""Route path: how often one request is retried."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanfork_core.quarantine import Quarantine

    from rattanfork_node.http1 import Exchange

#: Refused attempts ("not run") that don't count against the attempts of a route.  The
#: retry budget is the effective limit: of the runs with four calls that it allowed,
#: one in nine failed for lack of a sixth retry, at upstreams that refused 55 of 100
#: requests.
MAX_REFUSED_ATTEMPTS = 15
#: Gates that may deny a retry of one request before it is given up.  The retry
#: budgets of a service's gates are used up at similar rates, and each attempt costs
#: a message.
MAX_RETRY_DENIALS = 2
#: Runs of one request that may end in a lost upstream connection.
_MAX_LOST_RUNS = 2


def may_retry_lost_run(
    lost_runs: int, quarantine: Quarantine, exchange: Exchange
) -> bool:
    """Return whether to retry a run whose upstream connection was lost.

    Parameters
    ==========

    lost_runs : int
        Runs of the request that have ended so, including this one.
    quarantine : Quarantine
        Requests that may have crashed upstreams.
    exchange : Exchange
        The request.  Its fingerprint, a hash of its content, is computed only if any
        request is under suspicion.
    """
    if lost_runs >= _MAX_LOST_RUNS:
        return False
    return not len(quarantine) or quarantine.may_retry(exchange.fingerprint)
