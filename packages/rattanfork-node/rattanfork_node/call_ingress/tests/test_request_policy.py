"""Tests of request policies: rules, values requested by the caller, defaults."""

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


def policy_of(load: float = 0.0, **more: object):
    return select_policy(incoming(**more), RULES, "dc1", load, RequestSettings())


def test_rule_overrides_values_requested_by_caller():
    policy = policy_of(importance=Importance.LOW, timeout=30.0)
    assert policy.importance is Importance.CRITICAL
    assert (policy.deadline, policy.attempts) == (1.0, 3)


def test_requested_values_and_defaults_apply_without_rule():
    policy = policy_of(operation="view", importance=Importance.HIGH)
    assert policy.importance is Importance.HIGH
    assert (policy.rule, policy.deadline, policy.attempts) == ("", 2.0, 2)


def test_retry_by_caller_is_granted_no_retries():
    # Otherwise retries by the caller and by the nodes would multiply.
    assert policy_of(attempt=2).attempts == 0


def test_deadline_is_limited_to_longest_deadline():
    assert policy_of(operation="view", timeout=7200.0).deadline == 60.0


def test_rule_matches_on_load():
    assert policy_of(operation="view", load=0.6).action.refuse_after == 7


def test_request_id_of_another_caller_is_refused():
    callers = CallerTable(ManualClock())
    seen = [callers.count_attempt("r", caller) for caller in ("ann", "ann", "bob")]
    assert seen == [1, 2, None]


def test_memory_of_callers_is_bounded():
    callers = CallerTable(ManualClock(), max_entries=10)
    for i in range(100):
        callers.count_attempt(f"r{i}", "ann")
        callers.retry_budget(f"caller:{i}")
        callers.rate_limit("rule", f"{i}", 1.0)
    assert callers.count_attempt("r0", "bob") == 1
