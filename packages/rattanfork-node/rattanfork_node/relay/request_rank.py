"""Route path: ranks of callers' requests for load shedding."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanfork_core.request import request_tiebreak
from rattanfork_core.request.importance import RANK_LIMIT
from rattanfork_core.routes import importance_of_priority

if TYPE_CHECKING:
    from rattanfork_core.fair_shares import FairShares
    from rattanfork_core.gate_status import CallChainThresholds
    from rattanfork_core.routes import Route

    from rattanfork_node.http1 import Exchange
    from rattanfork_node.telemetry import Counters


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


class RequestRanker:
    """Ranks callers' requests, by fair shares of client accounts under overload.

    Explanation
    ===========

    While some gate of the route's call chain sheds the importance of a request, the
    fraction of the rank depends on the demand of the request's account, see
    :class:`~rattanfork_core.fair_shares.FairShares`.  Requests without an account keep
    the hash: fair fractions are distributed like it, so both meet the same thresholds.
    So do requests of an account with a quota: the operator has bounded its share, and
    has set how its requests rank among those of other accounts.

    Parameters
    ==========

    chain_thresholds : CallChainThresholds
        Thresholds of the gates along the call chains.
    fair_shares : FairShares or None
        Demand of the accounts; None to rank by the hash only.
    counters : Counters
        Counts fair ranks.
    """

    def __init__(
        self,
        chain_thresholds: CallChainThresholds,
        fair_shares: FairShares | None,
        counters: Counters,
    ) -> None:
        self._chain_thresholds = chain_thresholds
        self._fair_shares = fair_shares
        self._counters = counters

    def rank(
        self,
        exchange: Exchange,
        route: Route,
        rule_sets_importance: bool,
        operation: str,
        service: str,
    ) -> float:
        """Return the rank of a caller's request; higher ranks are shed first.

        Parameters
        ==========

        exchange : Exchange
            The request.
        route : Route
            Its route, after rules were applied.
        rule_sets_importance : bool
            Whether a rule sets the importance, which then overrides the account's.
        operation : str
            Route and service, the key of the call chain.
        service : str
            Service that the request goes to.
        """
        rank = rank_of_request(exchange, route, rule_sets_importance)
        account = exchange.account
        if account is None or account.limited or self._fair_shares is None:
            return rank
        importance = int(rank)
        threshold = self._chain_thresholds.lowest_gate_threshold(operation, service)
        if threshold >= importance + 1:
            return rank
        tiebreak = rank - importance
        route_importance = None
        if not rule_sets_importance and account.priority is not None:
            route_importance = importance_of_priority(route.priority)
            # Rounding may move the lowest and the highest hashes out of [0, 1].
            tiebreak = min(max(tiebreak * RANK_LIMIT - route_importance, 0.0), 1.0)
        fair = self._fair_shares.rank(
            importance, account.name, tiebreak, threshold, route_importance
        )
        self._counters.events["fair-share.ranked"] += 1
        exchange.fair_share = fair
        return importance + fair.fraction
