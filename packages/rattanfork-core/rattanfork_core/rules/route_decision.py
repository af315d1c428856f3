"""Application of a matching rule to the route of a request."""

from dataclasses import dataclass, replace

from rattanfork_core.request import Importance
from rattanfork_core.routes import Route, importance_of_priority
from rattanfork_core.rules.facts import RequestFacts
from rattanfork_core.rules.rule import Rule


def route_facts(
    route: Route,
    service: str,
    method: str,
    caller: str,
    data_centre: str,
    load: float = 0.0,
    priority: int | None = None,
) -> RequestFacts:
    """Return the properties of a request that the rules test.

    The operation is the route's name.  The importance follows from the priority of
    the client account, or from the route's if the account has none.
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
class RouteDecision:
    """Treatment of a request: its route after the rule's changes.

    Parameters
    ==========

    rule : str
        Name of the matching rule; "-" if none matched.
    route : Route
        The route with the rule's changes.
    data_centre : str or None
        The only data centre whose instances may run the request, if limited.
    refuse_after : float or None
        If the request is refused, its ``Retry-After`` in seconds.
    """

    rule: str
    route: Route
    data_centre: str | None = None
    refuse_after: float | None = None


def apply_rule(route: Route, rule: Rule | None) -> RouteDecision:
    """Return the treatment of a request under its matching rule, if any.

    Explanation
    ===========

    A rule can mark a request as non-idempotent, but never as idempotent: only the
    author of the route knows the effect of running the request twice.  Likewise a
    rule can lower the timeout and the attempts of a route, but not raise them.

    Examples
    ========

    >>> from rattanfork_core.routes import WeightedService
    >>> from rattanfork_core.rules import load_rules
    >>> [rule] = load_rules('''
    ... rules: [{name: a, then: {importance: low, deadline: 2, idempotent: true}}]
    ... ''').rules
    >>> changed = apply_rule(Route("r", "h", "/", (WeightedService("s"),)), rule).route
    >>> changed.priority, changed.timeout, changed.idempotent
    (3, 2.0, False)
    """
    level = importance_of_priority(route.priority)
    if rule is None:
        return RouteDecision("-", replace(route, priority=level))
    action = rule.action
    timeout, max_upstreams = route.timeout, route.most_upstreams
    if action.deadline is not None:
        timeout = min(timeout, action.deadline)
    if action.attempts is not None:
        max_upstreams = min(max_upstreams, 1 + action.attempts)
    changed = replace(
        route,
        priority=level if action.importance is None else int(action.importance),
        timeout=timeout,
        idempotent=route.idempotent and action.idempotent is not False,
        most_upstreams=max_upstreams,
    )
    return RouteDecision(rule.name, changed, action.data_centre, action.refuse_after)
