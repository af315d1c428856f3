"""Tests of request and caller budgets: retries in a call tree are bounded."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.budgets import CallerRetryBudget, RequestBudget
from rattanfork_core.clock import ManualClock

GRANTS = st.integers(0, 10)


def run_tree(budget: RequestBudget, depth: int, data: st.DataObject) -> int:
    """Simulate a call tree with random faults; return the extra attempts made."""
    made = 0
    if data.draw(st.booleans()) and budget.spend():
        made += 1
    if depth == 0:
        return made
    for _ in range(data.draw(st.integers(0, 2))):
        delegated = budget.delegate()
        child = RequestBudget(ManualClock(), 1.0, delegated)
        made += run_tree(child, depth - 1, data)
        reply = data.draw(st.sampled_from(["valid", "lost", "duplicate", "forged"]))
        if reply == "valid":
            budget.reclaim(delegated, child.attempts)
        elif reply == "forged":
            # A forged claim is modelled as at most the tokens that are left; claims
            # above the delegated share are tested separately.
            budget.reclaim(delegated, min(delegated, child.attempts))
    return made


@given(GRANTS, st.integers(0, 5), st.data())
def test_extra_attempts_in_call_tree_never_exceed_root_budget(grant, depth, data):
    # Guards against retry amplification: independent retries at each layer
    # multiply, and 3 retries at 5 layers are 1023 extra calls.
    budget = RequestBudget(ManualClock(), 1.0, grant)
    made = run_tree(budget, depth, data)
    assert made + budget.attempts <= grant


@given(GRANTS)
def test_attempts_are_conserved_along_chain_of_23_calls(grant):
    budgets = [RequestBudget(ManualClock(), 1.0, grant)]
    shares = []
    for _ in range(23):
        shares.append(budgets[-1].delegate())
        budgets.append(RequestBudget(ManualClock(), 1.0, shares[-1]))
    assert sum(budget.attempts for budget in budgets) == grant
    for parent, share, child in zip(
        budgets[-2::-1], shares[::-1], budgets[:0:-1], strict=True
    ):
        parent.reclaim(share, child.attempts)
    assert budgets[0].attempts == grant


@given(GRANTS, st.integers(-5, 100))
def test_reply_claiming_too_many_attempts_is_capped(grant, claimed):
    budget = RequestBudget(ManualClock(), 1.0, grant)
    budget.reclaim(budget.delegate(), claimed)
    assert budget.attempts <= grant


def test_total_outage_retries_only_the_budgeted_fraction():
    # Every attempt fails and would be retried; each first attempt adds a tenth
    # of a retry token.
    clock = ManualClock()
    budget = CallerRetryBudget(clock, fraction=0.1, trickle=0.0, burst=10.0)
    retries = 0
    for _ in range(1000):
        budget.earn()
        retries += budget.spend()
    assert retries <= 110


def test_deadline_is_measured_on_local_clock():
    clock = ManualClock(1000.0)
    budget = RequestBudget(clock, deadline=1000.5, attempts=0)
    clock.advance(0.4)
    assert round(budget.time_left, 3) == 0.1
    clock.advance(1)
    assert budget.time_left == 0
    assert budget.expired
