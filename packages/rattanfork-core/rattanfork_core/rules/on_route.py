"""What rules make of a request by routes."""

from dataclasses import dataclass, replace

from rattanfork_core.request import Importance
from rattanfork_core.routes import Route, importance_of_priority
from rattanfork_core.rules.facts import RequestFacts
from rattanfork_core.rules.rule import Rule


def facts_of_route(
    route: Route,
    service: str,
    method: str,
    caller: str,
    data_centre: str,
    load: float = 0.0,
    priority: int | None = None,
) -> RequestFacts:
    """Return what rules may ask of a request by a route.

    To a rule the operation is the route's name, and the importance is the priority of
    the client account, if it has one, and else the route's.
    """
    return RequestFacts(
        service,
        route.name,
        caller,
        method,
        data_centre,
        Importance(
            importance_of_priority(route.priority if priority is None else priority)
        ),
        load,
    )


@dataclass(frozen=True, slots=True)
class Ruling:
    """How a request by a route is treated.

    Parameters
    ==========

    rule : str
        Name of the rule that decided; "-" if none did.
    route : Route
        The route, with what the rule changes of it.
    data_centre : str or None
        The only data centre whose instances may run it.
    refuse_after : float or None
        Refused: seconds after which the caller should come back.
    """

    rule: str
    route: Route
    data_centre: str | None = None
    refuse_after: float | None = None


def rule_on(route: Route, rule: Rule | None) -> Ruling:
    """Return what a rule makes of a request by a route.

    Explanation
    ===========

    A rule may forbid that a request is repeated; that one may be repeated is
    for the route to say, for only who wrote it knows what running it twice
    does.  Likewise a rule can shorten the time of a route and lower its
    attempts, and not raise them.

    Examples
    ========

    >>> from rattanfork_core.routes import WeightedService
    >>> from rattanfork_core.rules import load_rules
    >>> [rule] = load_rules('''
    ... rules: [{name: a, then: {importance: low, deadline: 2, idempotent: true}}]
    ... ''').rules
    >>> ruled = rule_on(Route("r", "h", "/", (WeightedService("s"),)), rule).route
    >>> ruled.priority, ruled.timeout, ruled.idempotent
    (3, 2.0, False)
    """
    level = importance_of_priority(route.priority)
    if rule is None:
        return Ruling("-", replace(route, priority=level))
    action = rule.action
    timeout, most = route.timeout, route.most_upstreams
    if action.deadline is not None:
        timeout = min(timeout, action.deadline)
    if action.attempts is not None:
        most = min(most, 1 + action.attempts)
    ruled = replace(
        route,
        priority=level if action.importance is None else int(action.importance),
        timeout=timeout,
        idempotent=route.idempotent and action.idempotent is not False,
        most_upstreams=most,
    )
    return Ruling(rule.name, ruled, action.data_centre, action.refuse_after)
