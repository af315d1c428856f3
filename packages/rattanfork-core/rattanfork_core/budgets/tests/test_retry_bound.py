"""Tests of the bound on retries to a service, from the arrivals at all its instances.

The bound is the stated one.  It names no exception for gates that restart, disagree or
get load that moves, so neither do these tests.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.budgets import GateRetryBudget, RetryCharge
from rattanfork_core.budgets.tests.retry_arrivals import Arrivals
from rattanfork_core.budgets.tests.retry_simulation import (
    disagreeing,
    inheriting,
    moving,
    restarting,
)
from rattanfork_core.clock import ManualClock

#: Requests per second: of the two, the fixed allowance weighs more at the lower rate.
RATES = (700.0, 250.0)
SECONDS = 26.0


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("times", [(6,), (6, 10), (6, 8, 10, 12)], ids=len)
@pytest.mark.parametrize("gates", [18, 30])
def test_bound_holds_when_gates_restart(rate, times, gates):
    """Most or all gates are killed within one window, while half of the runs fail.

    Their successors must not grant what the killed gates have granted already.
    """
    simulation = restarting(rate, times, range(gates)).run(SECONDS)
    assert simulation.arrivals.worst_excess <= 0


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize(
    "views", [[15] * 15 + [30] * 15, [1] * 6 + [30] * 24], ids=["halves", "alone"]
)
def test_bound_holds_when_gates_lose_sight_of_others(rate, views):
    """Some gates see half of the gates, or only themselves, behind a partition."""
    assert disagreeing(rate, views).run(SECONDS).arrivals.worst_excess <= 0


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("times", [(16, 20), (14, 16, 18, 20)], ids=len)
def test_bound_holds_when_load_moves(rate, times):
    """Half of the instances flap, so that the gates' best windows are not the same."""
    assert moving(rate, times).run(SECONDS).arrivals.worst_excess <= 0


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("share", [0.1, 0.2])
def test_bound_holds_with_calls_of_retried_runs(rate, share):
    """A calling service retries as many of its requests as it may.

    The calls of those runs count as retries here, beside those that the gates grant.
    """
    assert inheriting(rate, share).run(SECONDS).arrivals.worst_excess <= 0


class Service:
    """Gates of a service that restart and lose sight of each other."""

    def __init__(self, gates: int) -> None:
        self.clock = ManualClock(100.0)
        self.arrivals = Arrivals(0.2, 20.0, 10.0)
        self.gates = [self._start_gate(gates) for _ in range(gates)]

    def request(self, first: int, count: int, inherited: int) -> None:
        """Send requests to gates in turn, and calls of retried runs to the same."""
        for number in range(first, first + count):
            gate = self.gates[number % len(self.gates)]
            gate.count_request()
            self.arrivals.requests.append(self.clock.now())
            if inherited and number % inherited == 0:
                decision = gate.decide_inherited()
                if decision.charge is RetryCharge.INHERITED:
                    self.arrivals.repeats.append(self.clock.now())

    def retry(self, first: int, count: int) -> None:
        """Request retries at gates in turn."""
        for number in range(first, first + count):
            gate = self.gates[number % len(self.gates)]
            gate.on_attempt(failed=True)
            if gate.grant(number % 5):
                self.arrivals.repeats.append(self.clock.now())

    def restart(self, first: int, count: int) -> None:
        """Replace gates; their successors learn the number of gates once."""
        for number in range(first, first + count):
            index = number % len(self.gates)
            self.gates[index] = self._start_gate(len(self.gates))

    def lose_sight(self, first: int, count: int) -> None:
        """Let gates see only a few others."""
        for number in range(first, first + count):
            self.gates[number % len(self.gates)].set_gate_count(1 + number % 7)

    def _start_gate(self, gates: int) -> GateRetryBudget:
        gate = GateRetryBudget(self.clock, 0.2, 20.0, 10.0)
        gate.set_gate_count(gates)
        return gate


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(("request", "request", "retry", "retry", "restart", "lose")),
        st.integers(0, 59),
        st.integers(1, 120),
        st.floats(0.0, 6.0),
    ),
    min_size=5,
    max_size=60,
)


@given(st.integers(1, 60), st.sampled_from((0, 1, 5, 20)), _STEPS)
def test_bound_holds_under_any_sequence_of_restarts_and_moves(gates, inherited, steps):
    """Load moves among gates that restart and lose sight of each other in any order.

    With none of the requests, with each, or with each fifth or twentieth, a call of a
    retried run arrives.
    """
    service = Service(gates)
    for kind, first, amount, pause in steps:
        if kind == "request":
            service.request(first, amount, inherited)
        elif kind == "retry":
            service.retry(first, amount)
        elif kind == "restart":
            service.restart(first, amount % gates + 1)
        else:
            service.lose_sight(first, amount % gates + 1)
        assert service.arrivals.excess(service.clock.now()) <= 0
        service.clock.advance(pause)
