"""Applies the operators' ordered rules to requests by routes.

The library that checks rules is large, so this module is imported only by a
node that has rules.
"""

from dataclasses import dataclass

from rattanfork_core.account.callers import CallerBook
from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.clock import Clock
from rattanfork_core.request import Reason
from rattanfork_core.routes import Route
from rattanfork_core.rules import RuleSet, facts_of_route, rule_on


@dataclass(frozen=True, slots=True)
class Verdict:
    """How the first rule that matches has a request treated.

    Parameters
    ==========

    rule : str
        Name of the rule; "-" if none matches.
    route : Route
        The route, with what the rule changes of it.
    data_centre : str or None
        The only data centre whose instances may run it.
    refusal : Reason or None
        Why it is refused; None if it is not.
    retry_after : float
        Seconds after which a refused caller should come back; 0 if unsaid.
    sets_importance : bool
        Whether the rule says how much the request matters, whoever sends it.
    """

    rule: str
    route: Route
    data_centre: str | None = None
    refusal: Reason | None = None
    retry_after: float = 0.0
    sets_importance: bool = False


class Ruler:
    """Applies ordered rules to requests by routes, and counts for their limits.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    data_centre : str
        Where this node runs.
    """

    def __init__(self, clock: Clock, data_centre: str) -> None:
        self._data_centre = data_centre
        self._book = CallerBook(clock)

    def rule(
        self,
        rules: RuleSet,
        route: Route,
        account: ClientAccount | None,
        service: str,
        method: str,
        caller: str,
        load: float,
    ) -> Verdict:
        """Return the verdict on a request."""
        priority = None if account is None else account.priority
        facts = facts_of_route(
            route, service, method, caller, self._data_centre, load, priority
        )
        found = rules.first_match(facts)
        ruling = rule_on(route, found)
        refusal, after = None, 0.0
        if ruling.refuse_after is not None:
            refusal, after = Reason.RULE, ruling.refuse_after
        elif found is not None and found.action.rate is not None:
            who = caller if found.action.rate_per_caller else ""
            limit = self._book.limit(found.name, who, found.action.rate)
            if not limit.take():
                refusal, after = Reason.LIMIT, limit.delay
        sets_importance = found is not None and found.action.importance is not None
        return Verdict(
            ruling.rule,
            ruling.route,
            ruling.data_centre,
            refusal,
            after,
            sets_importance,
        )
