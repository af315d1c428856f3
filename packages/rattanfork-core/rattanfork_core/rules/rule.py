"""A rule in the form in which requests are matched against it."""

from dataclasses import dataclass

from rattanfork_core.rules.action import Action
from rattanfork_core.rules.condition import Condition
from rattanfork_core.rules.document import RuleModel


@dataclass(frozen=True, slots=True)
class Rule:
    """An action for all requests that match a condition."""

    name: str
    condition: Condition
    action: Action

    @classmethod
    def of(cls, model: RuleModel) -> "Rule":
        """Return the rule of a validated document."""
        return cls(model.name, Condition.of(model.when), Action.of(model.then))
