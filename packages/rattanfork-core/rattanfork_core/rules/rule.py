"""One rule."""

from dataclasses import dataclass

from rattanfork_core.rules.action import Action
from rattanfork_core.rules.condition import Condition
from rattanfork_core.rules.document import RuleModel


@dataclass(frozen=True, slots=True)
class Rule:
    """When the condition holds, the action is taken."""

    name: str
    condition: Condition
    action: Action

    @classmethod
    def of(cls, model: RuleModel) -> "Rule":
        """Return the rule a document states."""
        return cls(model.name, Condition.of(model.when), Action.of(model.then))
