"""Ordered traffic rules set by operators; the first match decides about a request."""

from rattanfork_core.rules.action import Action
from rattanfork_core.rules.condition import Condition
from rattanfork_core.rules.document import (
    ActionModel,
    ConditionModel,
    ObjectiveModel,
    RuleModel,
    RulesDocument,
)
from rattanfork_core.rules.edit import move_rule, retire_rule
from rattanfork_core.rules.explain import Explanation, explain
from rattanfork_core.rules.facts import RequestFacts
from rattanfork_core.rules.finding import Finding, FindingsError
from rattanfork_core.rules.load import load_rules
from rattanfork_core.rules.route_decision import RouteDecision, apply_rule, route_facts
from rattanfork_core.rules.rule import Rule
from rattanfork_core.rules.ruleset import RuleSet
from rattanfork_core.rules.yaml_loader import load_yaml_model

__all__ = [
    "Action",
    "ActionModel",
    "Condition",
    "ConditionModel",
    "Explanation",
    "Finding",
    "FindingsError",
    "ObjectiveModel",
    "RequestFacts",
    "Rule",
    "RuleModel",
    "RuleSet",
    "RulesDocument",
    "RouteDecision",
    "explain",
    "route_facts",
    "load_rules",
    "load_yaml_model",
    "move_rule",
    "retire_rule",
    "apply_rule",
]
