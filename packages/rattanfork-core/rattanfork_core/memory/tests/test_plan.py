"""The shares of a memory limit."""

import pytest
from rattanfork_core.memory import MemoryPlan

#: Resident size of an idle node, in bytes.
IDLE_BYTES = 37_000_000


@pytest.mark.parametrize("megabytes", [64, 100, 200, 300, 552, 4000])
def test_all_shares_together_stay_below_the_limit(megabytes):
    """Guards against bounds that hold one by one, and not together."""
    limit = megabytes * 1_000_000
    plan = MemoryPlan.of(limit)
    assert plan.requests + plan.common + IDLE_BYTES < limit
    assert max(plan.bodies, plan.responses) < plan.common


@pytest.mark.parametrize("megabytes", [200, 300, 552])
def test_a_body_and_a_response_of_64_mib_fit_one_by_one(megabytes):
    """Guards against shares too small for a proper request."""
    plan = MemoryPlan.of(megabytes * 1_000_000)
    assert plan.large_bodies >= 64 << 20
    assert plan.responses >= 64 << 20
