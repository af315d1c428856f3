"""The account conserves extra attempts over the whole tree of calls."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.budgets import CallerRetryBudget, RequestBudget
from rattanfork_core.clock import ManualClock

GRANTS = st.integers(0, 10)


def run_tree(account: RequestBudget, depth: int, data: st.DataObject) -> int:
    """Run a tree of calls with random faults; return extra attempts made."""
    made = 0
    if data.draw(st.booleans()) and account.spend():
        made += 1
    if depth == 0:
        return made
    for _ in range(data.draw(st.integers(0, 2))):
        lent = account.delegate()
        child = RequestBudget(ManualClock(), 1.0, lent)
        made += run_tree(child, depth - 1, data)
        reply = data.draw(st.sampled_from(["whole", "lost", "doubled", "forged"]))
        if reply == "whole":
            account.reclaim(lent, child.attempts)
        elif reply == "forged":
            # Within the loan a forgery can only claim what was not spent.
            account.reclaim(lent, min(lent, child.attempts))
    return made


@given(GRANTS, st.integers(0, 5), st.data())
def test_attempts_in_the_tree_never_exceed_the_grant(grant, depth, data):
    # A retry at each layer multiplies on the way down: 3 retries at 5 layers
    # are 1023 extra calls.  Tokens that are only moved cannot multiply.
    account = RequestBudget(ManualClock(), 1.0, grant)
    made = run_tree(account, depth, data)
    assert made + account.attempts <= grant


@given(GRANTS)
def test_attempts_are_conserved_down_a_chain_of_23(grant):
    accounts = [RequestBudget(ManualClock(), 1.0, grant)]
    loans = []
    for _ in range(23):
        loans.append(accounts[-1].delegate())
        accounts.append(RequestBudget(ManualClock(), 1.0, loans[-1]))
    assert sum(a.attempts for a in accounts) == grant
    for parent, loan, child in zip(
        accounts[-2::-1], loans[::-1], accounts[:0:-1], strict=True
    ):
        parent.reclaim(loan, child.attempts)
    assert accounts[0].attempts == grant


@given(GRANTS, st.integers(-5, 100))
def test_a_reply_cannot_mint_attempts(grant, claimed):
    account = RequestBudget(ManualClock(), 1.0, grant)
    account.reclaim(account.delegate(), claimed)
    assert account.attempts <= grant


def test_a_total_outage_adds_a_bounded_share_of_retries():
    # Callers see every attempt fail and the system would retry each one; the
    # budget earns a tenth of an attempt for each first one.
    clock = ManualClock()
    budget = CallerRetryBudget(clock, fraction=0.1, trickle=0.0, burst=10.0)
    retries = 0
    for _ in range(1000):
        budget.earn()
        retries += budget.spend()
    assert retries <= 110


def test_deadline_is_a_duration_of_the_own_clock():
    clock = ManualClock(1000.0)
    account = RequestBudget(clock, deadline=1000.5, attempts=0)
    clock.advance(0.4)
    assert round(account.time_left, 3) == 0.1
    clock.advance(1)
    assert account.time_left == 0
    assert account.expired
