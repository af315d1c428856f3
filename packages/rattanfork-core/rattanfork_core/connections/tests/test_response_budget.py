"""Which response is evicted, and which waits, when the budget is exhausted."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.connections import ResponseBudget, ResponseHolder
from rattanfork_core.memory import MemoryRoom


class Response(ResponseHolder):
    """Records whether it was evicted."""

    def __init__(self) -> None:
        self.evicted = False

    def evict(self) -> None:
        self.evicted = True


def test_many_unread_responses_make_room_for_one_that_is_read():
    """Guards against a crowd that holds little each, and evicts ordinary responses."""
    clock = ManualClock(100.0)
    budget = ResponseBudget(1000, clock=clock)
    crowd = [Response() for _ in range(10)]
    for response in crowd:
        budget.hold(response, 100)
    clock.advance(1.0)
    ordinary = Response()
    budget.hold(ordinary, 150)
    assert not ordinary.evicted
    assert sum(response.evicted for response in crowd) == 2


def test_slow_reader_is_evicted_for_a_response_that_waits():
    """Guards against a response that waits for a reader who never finishes."""
    clock = ManualClock(100.0)
    budget = ResponseBudget(1000, clock=clock)
    slow, granted = Response(), []
    budget.hold(slow, 900)
    budget.reserve(Response(), 500, lambda: granted.append(1))
    budget.sweep()
    assert not slow.evicted
    assert not granted
    clock.advance(10.0)
    budget.sweep()
    assert slow.evicted
    assert granted == [1]


def test_response_larger_than_the_budget_is_refused_at_once():
    """Guards against a response that waits for room that there never is."""
    budget = ResponseBudget(1000)
    response = Response()
    budget.reserve(response, 1001, lambda: None)
    assert response.evicted
    assert budget.waiting == 0


def test_waiting_response_does_not_take_what_is_handed_over():
    """Guards against a response that loses its room on the way to its caller."""
    budget = ResponseBudget(1000)
    first, second, granted = Response(), Response(), []
    budget.hold(first, 800)
    budget.reserve(Response(), 500, lambda: granted.append(1))
    with budget.hand_over(first):
        budget.hold(second, 800)
    assert not second.evicted
    assert not granted
    budget.release(second)
    assert granted == [1]


@given(
    st.lists(
        st.tuples(st.integers(0, 7), st.integers(0, 400), st.floats(0, 2)),
        max_size=60,
    )
)
def test_responses_never_exceed_the_room_that_they_share(changes):
    """Guards against budgets that hold one by one, and not together."""
    clock = ManualClock(100.0)
    room = MemoryRoom(1000)
    budget = ResponseBudget(900, clock=clock, room=room)
    responses = [Response() for _ in range(8)]
    for index, size, pause in changes:
        clock.advance(pause)
        response = responses[index]
        if response.evicted or size > 300:
            budget.release(response)
            responses[index] = Response()
        elif index % 2:
            budget.release(response)
            budget.reserve(response, size, lambda: None)
        else:
            budget.hold(response, size)
        budget.sweep()
        assert budget.held == room.held <= 900
