"""Why a request is treated as it is."""

from dataclasses import dataclass

from rattanfork_core.rules.facts import RequestFacts
from rattanfork_core.rules.rule import Rule
from rattanfork_core.rules.ruleset import RuleSet


@dataclass(frozen=True, slots=True)
class Explanation:
    """The rule that takes a request, and why the earlier ones did not."""

    rule: Rule | None
    passed_over: tuple[tuple[str, tuple[str, ...]], ...]


def explain(rules: RuleSet, facts: RequestFacts) -> Explanation:
    """Return which rule takes a request and why the earlier ones did not.

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
        failures = tuple(rule.condition.mismatches(facts))
        if not failures:
            return Explanation(rule, tuple(passed_over))
        passed_over.append((rule.name, failures))
    return Explanation(None, tuple(passed_over))
