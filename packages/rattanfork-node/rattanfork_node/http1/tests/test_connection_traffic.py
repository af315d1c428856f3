"""Tests of the pool under Poisson traffic, in simulated time."""

from dataclasses import replace

import pytest

from rattanfork_node.http1.tests.connection_traffic import SCENARIOS, run_traffic

#: New connections per second of a gate that were seen before, and the aim.
_SEEN_PER_SECOND = 14.0
_AIM_PER_SECOND = _SEEN_PER_SECOND / 3


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("name", [n for n in SCENARIOS if n.startswith("sparse")])
def test_sparse_traffic_opens_few_connections_and_uses_none_that_may_be_stale(
    name, seed
):
    """Guards against a request that must not run twice ending with unknown outcome.

    A device forgets connections idle for 0.3 s during 6 s of each minute, and one
    response in a hundred is read up to 60 ms late.
    """
    result = run_traffic(SCENARIOS[name], 120.0, seed)
    assert result.stale_unretryable == 0
    assert result.run_twice == 0
    assert result.stale_retryable < 0.01 * result.sent
    assert result.total_new < _AIM_PER_SECOND * 120.0


@pytest.mark.parametrize("name", ["full, device, resets", "full, refuses"])
def test_full_upstream_gets_connections_only_for_those_that_were_lost(name):
    """Guards against connections that are closed while requests queue for them.

    Apart from the first for each slot, a new connection replaces one that was closed by
    a cancelled run, a reset or the upstream.
    """
    traffic = SCENARIOS[name]
    result = run_traffic(traffic, 30.0)
    assert result.stale_unretryable == 0
    assert result.run_twice == 0
    avoidable = {"not-retryable", "may-be-stale", "idle-too-long"} & set(result.new)
    assert not avoidable, result.new
    assert result.new["none-idle"] <= traffic.traits.slots


@pytest.mark.parametrize("forgotten_after", [0.3, 0.5, 1.0, 3.0])
def test_device_that_always_forgets_costs_no_unretryable_request(forgotten_after):
    """Guards against a safe idle time that holds only for one kind of device."""
    sparse = SCENARIOS["sparse 15/s"]
    traits = replace(
        sparse.traits, forget_for_s=60.0, forgotten_after_s=forgotten_after
    )
    result = run_traffic(replace(sparse, traits=traits), 120.0)
    assert result.stale_unretryable == 0
    assert result.stale_retryable < 0.05 * result.sent
