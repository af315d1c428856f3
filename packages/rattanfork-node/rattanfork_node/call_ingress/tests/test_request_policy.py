"""Rules, wishes and defaults become one treatment."""

from rattanfork_core.clock import ManualClock
from rattanfork_core.request import Importance
from rattanfork_core.rules import load_rules
from rattanfork_core.settings import RequestSettings
from rattanfork_node.call_ingress import CallerTable, IncomingRequest, select_policy

RULES = load_rules(
    """
rules:
- {name: post, when: {service: claims, operation: file},
   then: {importance: critical, deadline: 1, attempts: 3}}
- {name: hot, when: {load_above: 0.5}, then: {refuse: {retry_after: 7}}}
"""
)


def incoming(**more: object) -> IncomingRequest:
    fields = {
        "service": "claims",
        "operation": "file",
        "method": "POST",
        "path": "/file",
        "headers": [],
        "body": b"",
        "request_id": "r",
        "caller": "clerk",
    }
    return IncomingRequest(**{**fields, **more})


def treated(load: float = 0.0, **more: object):
    return select_policy(incoming(**more), RULES, "dc1", load, RequestSettings())


def test_the_rule_decides_over_the_callers_wish():
    treatment = treated(importance=Importance.LOW, timeout=30.0)
    assert treatment.importance is Importance.CRITICAL
    assert (treatment.deadline, treatment.attempts) == (1.0, 3)


def test_without_a_rule_the_wish_and_the_defaults_hold():
    treatment = treated(operation="view", importance=Importance.HIGH)
    assert treatment.importance is Importance.HIGH
    assert (treatment.rule, treatment.deadline, treatment.attempts) == ("", 2.0, 2)


def test_a_callers_retry_gets_no_attempts_of_its_own():
    # Callers and system both retry, and the retries multiply.
    assert treated(attempt=2).attempts == 0


def test_a_deadline_of_hours_is_cut():
    assert treated(operation="view", timeout=7200.0).deadline == 60.0


def test_load_changes_the_treatment():
    assert treated(operation="view", load=0.6).action.refuse_after == 7


def test_a_request_id_belongs_to_its_first_caller():
    book = CallerTable(ManualClock())
    seen = [book.count_attempt("r", caller) for caller in ("ann", "ann", "bob")]
    assert seen == [1, 2, None]


def test_what_is_remembered_of_callers_is_bounded():
    book = CallerTable(ManualClock(), most=10)
    for i in range(100):
        book.count_attempt(f"r{i}", "ann")
        book.retry_budget(f"caller:{i}")
        book.rate_limit("rule", f"{i}", 1.0)
    assert book.count_attempt("r0", "bob") == 1
