"""Route path: applies the operators' ordered rules to requests.

The validation library that this module imports is large, so it is imported only
by nodes that have rules.
"""

from dataclasses import dataclass

from rattanfork_core.budgets.caller_table import CallerTable
from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.clock import Clock
from rattanfork_core.request import Reason
from rattanfork_core.routes import Route
from rattanfork_core.rules import RuleSet, apply_rule, route_facts


@dataclass(frozen=True, slots=True)
class RuleDecision:
    """Decision of the first matching rule on a request.

    Parameters
    ==========

    rule : str
        Name of the rule; "-" if none matches.
    route : Route
        The route, with the rule's changes.
    data_centre : str or None
        The only data centre whose instances may run it; None for any.
    refusal : Reason or None
        Reason for refusing it; None if it is not refused.
    retry_after : float
        Retry-After of a refusal, in seconds; 0 if the rule sets none.
    sets_importance : bool
        Whether the rule sets the importance of the request.
    """

    rule: str
    route: Route
    data_centre: str | None = None
    refusal: Reason | None = None
    retry_after: float = 0.0
    sets_importance: bool = False


class RuleEvaluator:
    """Applies ordered rules to routed requests and enforces their rate limits.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    data_centre : str
        Data centre of this node.
    """

    def __init__(self, clock: Clock, data_centre: str) -> None:
        self._data_centre = data_centre
        self._caller_limits = CallerTable(clock)

    def evaluate(
        self,
        rules: RuleSet,
        route: Route,
        account: ClientAccount | None,
        service: str,
        method: str,
        caller: str,
        load: float,
    ) -> RuleDecision:
        """Return the decision on a request."""
        priority = None if account is None else account.priority
        facts = route_facts(
            route, service, method, caller, self._data_centre, load, priority
        )
        matched = rules.first_match(facts)
        effect = apply_rule(route, matched)
        refusal, retry_after = None, 0.0
        if effect.refuse_after is not None:
            refusal, retry_after = Reason.RULE, effect.refuse_after
        elif matched is not None and matched.action.rate is not None:
            limited_caller = caller if matched.action.rate_per_caller else ""
            limit = self._caller_limits.rate_limit(
                matched.name, limited_caller, matched.action.rate
            )
            if not limit.take():
                refusal, retry_after = Reason.LIMIT, limit.delay
        sets_importance = matched is not None and matched.action.importance is not None
        return RuleDecision(
            effect.rule,
            effect.route,
            effect.data_centre,
            refusal,
            retry_after,
            sets_importance,
        )
