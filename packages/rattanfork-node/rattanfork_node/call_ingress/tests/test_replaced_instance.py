"""What is said when the process that was meant is gone.

The caller filed a claim, the guard was killed in the run and started again at
the same address, and the caller asks again with the same key: it was told
"not run" though the claim had run, because this attempt had not been sent.
"""

from rattanfork_core.budgets import RequestBudget
from rattanfork_core.clock import ManualClock
from rattanfork_core.request import Importance, Outcome, SendCall
from rattanfork_node.call_ingress.dispatcher import Job, _gone

COMMAND = SendCall(1, "claims-1@old", 1)


def job(key: str, key_is_new: bool) -> Job:
    account = RequestBudget(ManualClock(), 1.0, 1)
    return Job(
        None, account, Importance.HIGH, 1.5, False, key, "", key_is_new=key_is_new
    )


def test_a_key_that_a_caller_brought_may_have_run():
    assert _gone(job("k", False), COMMAND).outcome is Outcome.UNKNOWN


def test_a_key_made_for_this_attempt_has_not_run():
    result = _gone(job("k", True), COMMAND)
    assert result.outcome is Outcome.NOT_RUN
    assert result.retry_elsewhere


def test_a_read_goes_elsewhere():
    assert _gone(job("", False), COMMAND).retry_elsewhere
