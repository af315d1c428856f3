"""Route path: ranks of callers' requests for load shedding."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanfork_core.request import request_tiebreak
from rattanfork_core.request.importance import RANK_LIMIT
from rattanfork_core.routes import importance_of_priority

if TYPE_CHECKING:
    from rattanfork_core.routes import Route

    from rattanfork_node.http1 import Exchange


def rank_of_request(
    exchange: Exchange, route: Route, rule_sets_importance: bool
) -> float:
    """Return the rank of a caller's request; higher ranks are shed first.

    The integer part is the importance level, the fraction a hash of the request ID
    only, so that all gates shed the same requests of one level.

    Parameters
    ==========

    exchange : Exchange
        The request.
    route : Route
        Its route, after rules were applied.
    rule_sets_importance : bool
        Whether a rule sets the importance, which then overrides the account's.
    """
    level = importance_of_priority(route.priority)
    rank = level + request_tiebreak(exchange.request_id.decode("latin-1"))
    account = exchange.account
    if rule_sets_importance or account is None or account.priority is None:
        return rank
    # The route's priority orders the requests of accounts with equal priority.
    return importance_of_priority(account.priority) + rank / RANK_LIMIT
