"""Repeats are granted where arrivals are seen, and the sum over the gates holds."""

from collections import deque

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.budgets import GateRetryBudget
from rattanfork_core.clock import ManualClock

RATIO, EXTRA, WINDOW = 0.2, 20.0, 10.0


class Service:
    """The gates of a service, and what a bound over all of them would count."""

    def __init__(self, gates: int) -> None:
        self.clock = ManualClock(100.0)
        self.gates = [self._gate(gates) for _ in range(gates)]
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def request(self, gate: int) -> None:
        self.gates[gate % len(self.gates)].count_request()
        self.requests.append(self.clock.now())

    def repeat(self, gate: int, rank: float) -> None:
        if self.gates[gate % len(self.gates)].grant(rank):
            self.repeats.append(self.clock.now())

    def leave(self, gate: int) -> None:
        if len(self.gates) > 1:
            del self.gates[gate % len(self.gates)]
            self._share()

    def come(self) -> None:
        self.gates.append(self._gate(len(self.gates) + 1))
        self._share()

    def held(self) -> bool:
        """Return whether the bound holds for the window that ends now."""
        now = self.clock.now()
        repeats = _between(self.repeats, now - WINDOW, now)
        most = max(
            _between(self.requests, now - back - WINDOW, now - back)
            for back in (0.0, WINDOW / 2, WINDOW)
        )
        return repeats <= RATIO * most + EXTRA

    def _gate(self, gates: int) -> GateRetryBudget:
        grants = GateRetryBudget(self.clock, RATIO, EXTRA, WINDOW)
        grants.set_gate_count(gates)
        return grants

    def _share(self) -> None:
        for gate in self.gates:
            gate.set_gate_count(len(self.gates))


def _between(times: deque[float], after: float, until: float) -> int:
    return sum(after < at <= until for at in times)


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(("request", "request", "request", "repeat", "repeat", "wait")),
        st.integers(0, 11),
        st.floats(0.0, 4.9),
    ),
    min_size=20,
    max_size=300,
)


@given(st.integers(1, 12), _STEPS)
def test_the_gates_together_keep_the_bound(gates, steps):
    """Requests and repeats meet the gates in any order and any proportion."""
    service = Service(gates)
    for kind, gate, amount in steps:
        if kind == "request":
            service.request(gate)
        elif kind == "repeat":
            service.repeat(gate, amount)
        else:
            service.clock.advance(amount)
        assert service.held()


@given(st.integers(2, 8), st.lists(st.integers(0, 7), max_size=6), st.data())
def test_gates_that_leave_and_come_keep_the_bound(gates, changes, data):
    """Gates leave for good, each followed by one that knows nothing of before.

    What is granted out of a gate's own arrivals goes with it; of the fixed
    allowance a successor has a part of its own, so one restart in a window of each
    third gate is within what is held back.
    """
    service = Service(gates)
    for place in range(40):
        service.request(place)
    restarts = max(1, gates // 3)
    for place, gate in enumerate(changes):
        for _ in range(data.draw(st.integers(0, 10))):
            service.repeat(gate, 0.5)
        if place < restarts:
            service.leave(gate)
            service.come()
        assert service.held()


def test_a_grant_that_was_not_used_comes_back():
    """A repeat is granted, and the gate's queue has no room for it."""
    grants = GateRetryBudget(ManualClock(), RATIO, 0.0, WINDOW)
    for _ in range(6):
        grants.count_request()
    assert grants.grant(1.5)
    assert not grants.grant(1.5)
    grants.refund()
    assert grants.grant(1.5)
