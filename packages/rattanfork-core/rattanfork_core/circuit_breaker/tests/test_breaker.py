"""Tests of the circuit breakers of operations."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.circuit_breaker import OperationBreakers
from rattanfork_core.clock import ManualClock

#: Requests per second of one operation at one of 60 entry nodes.
_RATE = 25
_OPERATION = "check/balances"


def serve(
    breakers: OperationBreakers,
    clock: ManualClock,
    random: Random,
    completion: float,
    seconds: float,
) -> tuple[int, int]:
    """Send requests of which a share completes; return how many were admitted, sent."""
    sent = int(_RATE * seconds)
    admitted = 0
    for _ in range(sent):
        clock.advance(1 / _RATE)
        if breakers.admits(_OPERATION, str(random.random())):
            admitted += 1
            breakers.record(_OPERATION, random.random() < completion)
    return admitted, sent


def new_breakers() -> tuple[OperationBreakers, ManualClock, Random]:
    """Return breakers with their clock, and a seeded source of random numbers."""
    clock = ManualClock()
    return OperationBreakers(clock), clock, Random(7)


def test_deep_requests_are_refused_while_an_upstream_rejects_half_of_its_runs():
    """Guards against work for requests of eight runs, of which one in 250 completes."""
    breakers, clock, random = new_breakers()
    serve(breakers, clock, random, completion=1.0, seconds=2)
    admitted, sent = serve(breakers, clock, random, completion=0.5**8, seconds=8)
    assert admitted < 0.25 * sent
    assert _OPERATION in breakers.open_operations


def test_requests_are_admitted_soon_after_they_complete_again():
    """Guards against an outage that the breaker prolongs."""
    breakers, clock, random = new_breakers()
    serve(breakers, clock, random, completion=0.0, seconds=8)
    serve(breakers, clock, random, completion=1.0, seconds=1.5)
    admitted, sent = serve(breakers, clock, random, completion=1.0, seconds=2)
    assert admitted == sent


def test_overload_that_fails_half_of_the_requests_refuses_none():
    """Guards against a breaker that refuses requests of which many complete."""
    breakers, clock, random = new_breakers()
    admitted, sent = serve(breakers, clock, random, completion=0.5, seconds=60)
    assert admitted == sent


def test_shallow_requests_are_admitted_beside_deep_ones_that_fail():
    """Guards against refusing the requests with a single run, which do complete."""
    breakers, clock, random = new_breakers()
    serve(breakers, clock, random, completion=0.0, seconds=4)
    assert breakers.share("look/agents") == 1.0


def test_node_with_few_requests_tries_again_within_seconds():
    """Guards against a node that refuses for minutes for lack of requests to try."""
    breakers, clock, random = new_breakers()
    serve(breakers, clock, random, completion=0.0, seconds=8)
    clock.advance(10)
    assert breakers.share(_OPERATION) == 1.0


def test_opening_and_closing_are_reported_once():
    """Guards against an operator who can't see that requests are refused, or why."""
    breakers, clock, random = new_breakers()
    changes = []
    breakers.on_change = lambda operation, is_open: changes.append(is_open)
    serve(breakers, clock, random, completion=0.0, seconds=1)
    serve(breakers, clock, random, completion=1.0, seconds=4)
    assert changes == [True, False]


def test_state_is_bounded():
    """Guards against memory that grows with operations named by clients."""
    breakers, _, _ = new_breakers()
    for number in range(5000):
        breakers.record(f"route-{number}", completed=False)
    assert breakers.share("route-4999") == 1.0
    assert len(breakers._breakers) == 1000


@given(st.lists(st.booleans(), max_size=200))
def test_share_stays_within_bounds(outcomes):
    breakers, clock, _ = new_breakers()
    for completed in outcomes:
        clock.advance(0.01)
        breakers.record(_OPERATION, completed)
        assert 0.03 < breakers.share(_OPERATION) <= 1.0
