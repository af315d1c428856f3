"""Loading of rules from YAML."""

from rattanfork_core.rules.document import RulesDocument
from rattanfork_core.rules.ruleset import RuleSet
from rattanfork_core.rules.yaml_loader import load_yaml_model


def load_rules(text: str, source: str = "rules") -> RuleSet:
    """Return the rules of a YAML document.

    Raises
    ======

    FindingsError
        If the document is invalid, with every error and its position.

    Examples
    ========

    >>> rules = load_rules("rules: [{name: a, then: {importance: high}}]")
    >>> [rule.name for rule in rules.rules]
    ['a']
    """
    return RuleSet(load_yaml_model(text, RulesDocument, source))
