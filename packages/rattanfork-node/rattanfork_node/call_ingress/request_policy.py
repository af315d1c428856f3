"""Call path: effect of the rules and defaults on a request."""

from dataclasses import dataclass

from rattanfork_core.request import Importance
from rattanfork_core.rules import Action, RequestFacts, RuleSet
from rattanfork_core.settings import RequestSettings

from rattanfork_node.call_ingress.incoming_request import IncomingRequest

_NO_ACTION = Action()


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """Limits and importance of a request, from the rules and defaults.

    Parameters
    ==========

    rule : str
        Name of the matching rule, or "" if none matched.
    deadline : float
        Seconds in which the response must be sent.
    attempts : int
        Retries granted to the request and all its child calls together.
    """

    rule: str
    action: Action
    importance: Importance
    deadline: float
    attempts: int
    idempotent: bool


def select_policy(
    incoming: IncomingRequest,
    rules: RuleSet,
    data_centre: str,
    load: float,
    defaults: RequestSettings,
) -> RequestPolicy:
    """Return the policy of a caller's request by the first matching rule."""
    importance = incoming.importance
    facts = RequestFacts(
        incoming.service,
        incoming.operation,
        incoming.caller,
        incoming.method,
        data_centre,
        Importance.NORMAL if importance is None else importance,
        load,
        incoming.attempt,
    )
    rule = rules.first_match(facts)
    action = _NO_ACTION if rule is None else rule.action
    deadline = incoming.timeout or defaults.deadline
    if action.deadline is not None:
        deadline = min(deadline, action.deadline)
    attempts = defaults.attempts if action.attempts is None else action.attempts
    idempotent = action.idempotent
    return RequestPolicy(
        rule.name if rule is not None else "",
        action,
        facts.importance if action.importance is None else action.importance,
        min(deadline, defaults.longest_deadline),
        # Only the caller's first attempt is granted retries, as retries by the
        # caller and by the nodes would multiply.
        attempts if incoming.attempt == 1 else 0,
        incoming.idempotent if idempotent is None else idempotent,
    )
