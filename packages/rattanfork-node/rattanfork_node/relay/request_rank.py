"""The place of callers' requests in the order of shedding."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanfork_core.request import request_tiebreak
from rattanfork_core.request.importance import RANK_LIMIT
from rattanfork_core.routes import importance_of_priority

if TYPE_CHECKING:
    from rattanfork_core.routes import Route

    from rattanfork_node.http1 import Exchange


def rank_of_request(exchange: Exchange, route: Route, rule_decides: bool) -> float:
    """Return the rank of a caller's request.

    Parameters
    ==========

    exchange : Exchange
        The request.
    route : Route
        Its route, as rules have changed it.
    rule_decides : bool
        Whether a rule says how much it matters, whoever sends it.
    """
    level = importance_of_priority(route.priority)
    rank = level + request_tiebreak(exchange.request_id.decode("latin-1"))
    account = exchange.account
    if rule_decides or account is None or account.priority is None:
        return rank
    # Among accounts of one priority the route's orders.
    return importance_of_priority(account.priority) + rank / RANK_LIMIT
