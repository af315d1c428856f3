"""Tests of attempts at an instance that another process has replaced.

Guards against "not run" for a request that did run: a node is killed during a run
and restarts at the same address, and the caller repeats the request with its key.
Only the repeated attempt is known not to have been sent.
"""

from rattanfork_core.budgets import RequestBudget
from rattanfork_core.clock import ManualClock
from rattanfork_core.request import Importance, Outcome, SendCall
from rattanfork_node.call_ingress.dispatcher import CallJob, _replaced_instance_result

COMMAND = SendCall(1, "claims-1@old", 1)


def job(key: str, key_is_new: bool) -> CallJob:
    request_budget = RequestBudget(ManualClock(), 1.0, 1)
    return CallJob(
        None,
        request_budget,
        Importance.HIGH,
        1.5,
        False,
        key,
        "",
        key_is_new=key_is_new,
    )


def test_caller_key_may_have_run_at_replaced_instance():
    assert (
        _replaced_instance_result(job("k", False), COMMAND).outcome is Outcome.UNKNOWN
    )


def test_key_issued_for_this_attempt_has_not_run():
    result = _replaced_instance_result(job("k", True), COMMAND)
    assert result.outcome is Outcome.NOT_RUN
    assert result.retry_elsewhere


def test_request_without_key_is_retried_elsewhere():
    assert _replaced_instance_result(job("", False), COMMAND).retry_elsewhere
