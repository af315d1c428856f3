"""The first matching rule applies; all errors of a document are reported."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.request import Importance
from rattanfork_core.rules import (
    FindingsError,
    RequestFacts,
    RulesDocument,
    RuleSet,
    explain,
    load_rules,
)

SERVICES = ("claims", "receipts", "audit")
CONDITIONS = st.fixed_dictionaries(
    {},
    optional={
        "service": st.sampled_from([*SERVICES, "a*"]),
        "operation": st.sampled_from(["file", "view"]),
        "caller": st.sampled_from(["clerk-*", "donor"]),
        "importance": st.sampled_from(["high", "low"]),
        "load_above": st.sampled_from([0.2, 0.8]),
        "attempt_above": st.integers(0, 2),
    },
)
FACTS = st.builds(
    RequestFacts,
    st.sampled_from(SERVICES),
    st.sampled_from(["file", "view"]),
    st.sampled_from(["clerk-1", "donor"]),
    importance=st.sampled_from(list(Importance)),
    load=st.sampled_from([0.0, 0.5, 0.9]),
    attempt=st.integers(1, 4),
)


@given(st.lists(CONDITIONS, max_size=8), FACTS)
def test_first_matching_rule_applies(conditions, facts):
    document = RulesDocument.model_validate(
        {
            "rules": [
                {"name": f"r{i}", "when": when, "then": {"attempts": 1}}
                for i, when in enumerate(conditions)
            ]
        }
    )
    rules = RuleSet(document)
    matching = [r for r in rules.rules if r.condition.matches(facts)]
    expected = matching[0] if matching else None
    assert rules.first_match(facts) is expected
    explained = explain(rules, facts)
    assert explained.rule is expected
    assert all(mismatches for _, mismatches in explained.passed_over)


def test_all_errors_are_reported_with_their_positions():
    text = """\
rules:
- name: a
  wen: {service: claims}
  then: {importance: urgent, attempts: 99}
- name: b
  when: {load_above: 0.9, load_below: 0.1}
  then: {deadline: fast}
"""
    with pytest.raises(FindingsError) as caught:
        load_rules(text, "r.yaml")
    positions = [(f.line, f.column) for f in caught.value.findings]
    assert positions == [(3, 3), (4, 22), (4, 40), (6, 9), (7, 20)]


@pytest.mark.parametrize(
    "text",
    [
        "rules: [",
        "rules: 3",
        "a: &a [*a]",
        "rules: [{name: a, then: {}}, {name: a, then: {}}]",
        "rules: []\nrules: []",
        "\x00",
        "? [a]\n: b",
    ],
)
def test_invalid_document_raises_findings_error(text):
    with pytest.raises(FindingsError):
        load_rules(text)


@given(st.text(max_size=60))
def test_any_text_gives_rules_or_errors(text):
    try:
        load_rules(text)
    except FindingsError as error:
        findings = error.findings
    else:
        return
    assert findings
