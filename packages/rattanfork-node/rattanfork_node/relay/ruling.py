"""What the operators' ordered rules make of a request by routes.

The library that checks rules is large, so this module is imported only by a
node that has rules.
"""

from dataclasses import dataclass

from rattanfork_core.account.callers import CallerBook
from rattanfork_core.clock import Clock
from rattanfork_core.request import Importance, Reason
from rattanfork_core.routes import Route
from rattanfork_core.rules import RequestFacts, RuleSet

_NO_RULE = "-"


@dataclass(frozen=True, slots=True)
class Ruling:
    """How the first rule that matches has a request treated.

    Parameters
    ==========

    rule : str
        Name of the rule; "-" if none matches.
    level : int
        Importance, 0 for the highest.
    timeout : float
        Seconds until the caller must have its answer.
    idempotent : bool
        Whether running the request twice does no harm.
    most_upstreams : int
        Most upstreams that it may be sent to.
    data_centre : str or None
        The only data centre whose instances may run it.
    refusal : Reason or None
        Why it is refused; None if it is not.
    retry_after : float
        Seconds after which a refused caller should come back; 0 if unsaid.
    """

    rule: str
    level: int
    timeout: float
    idempotent: bool
    most_upstreams: int
    data_centre: str | None = None
    refusal: Reason | None = None
    retry_after: float = 0.0


class Ruler:
    """Applies ordered rules to requests by routes.

    Explanation
    ===========

    To a rule the service is that of the route, the operation is the route's
    name, and the importance is the route's priority.  A rule may forbid that a
    request is repeated; that one may be repeated is for the route to say, for
    only who wrote it knows what running it twice does.

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
        service: str,
        method: str,
        caller: str,
        load: float,
    ) -> Ruling:
        """Return the ruling on a request."""
        level = min(max(route.priority, 0), len(Importance) - 1)
        facts = RequestFacts(
            service,
            route.name,
            caller,
            method,
            self._data_centre,
            Importance(level),
            load,
        )
        found = rules.first_match(facts)
        if found is None:
            return Ruling(
                _NO_RULE, level, route.timeout, route.idempotent, route.most_upstreams
            )
        action = found.action
        refusal, after = None, 0.0
        if action.refuse_after is not None:
            refusal, after = Reason.RULE, action.refuse_after
        elif action.rate is not None:
            who = caller if action.rate_per_caller else ""
            limit = self._book.limit(found.name, who, action.rate)
            if not limit.take():
                refusal, after = Reason.LIMIT, limit.delay
        deadline = route.timeout if action.deadline is None else action.deadline
        most = route.most_upstreams
        if action.attempts is not None:
            most = min(most, 1 + action.attempts)
        return Ruling(
            found.name,
            level if action.importance is None else int(action.importance),
            min(route.timeout, deadline),
            route.idempotent and action.idempotent is not False,
            most,
            action.data_centre,
            refusal,
            after,
        )
