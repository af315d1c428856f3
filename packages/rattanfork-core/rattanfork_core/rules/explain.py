"""Explanation of which rule applies to a request."""

from dataclasses import dataclass

from rattanfork_core.rules.facts import RequestFacts
from rattanfork_core.rules.rule import Rule
from rattanfork_core.rules.ruleset import RuleSet


@dataclass(frozen=True, slots=True)
class Explanation:
    """The matching rule, and the mismatches of each rule before it."""

    rule: Rule | None
    passed_over: tuple[tuple[str, tuple[str, ...]], ...]


def explain(rules: RuleSet, facts: RequestFacts) -> Explanation:
    """Return the rule that applies to a request, and why earlier ones do not.

    Examples
    ========

    >>> from rattanfork_core.rules.load import load_rules
    >>> rules = load_rules('''
    ... rules:
    ... - {name: a, when: {service: claims}, then: {importance: high}}
    ... - {name: b, then: {importance: low}}
    ... ''')
    >>> found = explain(rules, RequestFacts("receipts", "browse"))
    >>> found.rule.name, found.passed_over
    ('b', (('a', ("service is 'receipts'",)),))
    """
    passed_over = []
    for rule in rules.rules:
        mismatches = tuple(rule.condition.mismatches(facts))
        if not mismatches:
            return Explanation(rule, tuple(passed_over))
        passed_over.append((rule.name, mismatches))
    return Explanation(None, tuple(passed_over))
