"""Tests of the budget for bodies and of the state machine of one body."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.request import Reason
from rattanfork_core.uploads import BodyBudget, BodyIntake, DrainBound, IntakeState

MAX_BYTES = 16 << 20


def admitted(budget: BodyBudget, declared: int | None) -> BodyIntake:
    intake = BodyIntake(budget, declared, MAX_BYTES)
    assert intake.admit(lambda: None) is Reason.NONE
    return intake


def test_body_waits_until_another_has_released_its_room():
    budget = BodyBudget(4_000)
    first, second = admitted(budget, 900), admitted(budget, 900)
    assert (first.is_paused, second.is_paused) == (False, True)
    first.on_bytes(900)
    first.on_end()
    assert second.is_paused
    first.release()
    assert not second.is_paused


def test_large_body_is_not_overtaken_by_smaller_ones():
    """Guards against a large upload that starves while small ones keep arriving."""
    budget = BodyBudget(4_000)
    running = admitted(budget, 600)
    large, small = admitted(budget, 900), admitted(budget, 100)
    assert small.is_paused
    running.release()
    assert not large.is_paused
    assert not small.is_paused


def test_abandoned_upload_gives_its_turn_to_the_next():
    budget = BodyBudget(4_000)
    running, waiting, next_one = (admitted(budget, 900) for _ in range(3))
    waiting.discard()
    assert budget.waiting == 1
    running.release()
    assert not next_one.is_paused


def test_body_larger_than_is_ever_granted_is_refused_at_its_head():
    """Guards against an upload that waits for room until its timeout in vain."""
    intake = BodyIntake(BodyBudget(2_000), 1_001, MAX_BYTES)
    assert intake.admit(lambda: None) is Reason.NO_BODY_ROOM
    intake = BodyIntake(BodyBudget(2_000), 901, 900)
    assert intake.admit(lambda: None) is Reason.TOO_LARGE


def test_bytes_received_with_waiting_heads_are_bounded():
    """The socket may deliver part of a body before reading can be paused."""
    budget = BodyBudget(4_000)
    admitted(budget, 1_000)
    waiting = [admitted(budget, 900) for _ in range(4)]
    reasons = [intake.on_bytes(800) for intake in waiting]
    assert reasons == [Reason.NONE] * 3 + [Reason.NO_BODY_ROOM]
    assert budget.held == 3_400


def test_early_bytes_do_not_block_the_body_that_is_next():
    """Guards against uploads that wait for each other until their timeouts.

    Those behind the first hold bytes that arrived with their heads; the first needs
    all room that bodies may take.
    """
    budget = BodyBudget(4_000)
    running = admitted(budget, 500)
    first = admitted(budget, 1_000)
    for _ in range(5):
        admitted(budget, 900).on_bytes(600)
    running.release()
    assert not first.is_paused


def test_slow_body_over_the_share_does_not_stop_others():
    budget = BodyBudget(4_000)
    slow, second = admitted(budget, 2_000), admitted(budget, 2_000)
    small = admitted(budget, 900)
    assert [i.is_paused for i in (slow, second, small)] == [False, True, False]
    slow.discard()
    assert not second.is_paused


def test_chunked_body_grows_or_is_refused_without_waiting():
    """Guards against bodies that each hold a part and wait for the rest."""
    budget = BodyBudget(4 << 20)
    first, second = (admitted(budget, None) for _ in range(2))
    assert not first.is_paused
    assert not second.is_paused
    assert first.on_bytes(2 << 20) is Reason.NONE
    assert second.on_bytes(2 << 20) is Reason.NONE
    assert budget.held == 4 << 20
    third = admitted(budget, 30_000)
    assert third.is_paused
    assert third.on_bytes(1) is Reason.NO_BODY_ROOM
    first.release()
    assert not third.is_paused


def test_chunked_bodies_that_outgrow_their_steps_are_read_one_after_another():
    """Guards against proper bodies refused halfway because their length is unknown."""
    budget = BodyBudget(4 << 20, 9 << 20)
    first, second = (admitted(budget, None) for _ in range(2))
    for intake in (first, second):
        intake.on_bytes(2 << 20)
        assert intake.on_bytes(1) is Reason.NONE
    assert (first.is_paused, second.is_paused) == (False, True)
    assert first.on_bytes(6 << 20) is Reason.NONE
    first.on_end()
    assert budget.large_held == (8 << 20) + 1
    first.release()
    assert not second.is_paused
    second.discard()
    assert (budget.held, budget.large_held) == (0, 0)


def test_chunked_body_beyond_the_room_of_the_node_is_refused():
    """Guards against a body that is awaited although there will never be room."""
    intake = admitted(BodyBudget(4 << 20, 6 << 20), None)
    assert intake.on_bytes(6 << 20) is Reason.NONE
    assert intake.on_bytes(1) is Reason.NO_BODY_ROOM


def test_largest_bodies_share_a_room_of_their_own():
    """Guards against largest bodies that exceed the memory, or stop smaller ones."""
    budget = BodyBudget(4 << 20, 8 << 20)
    large = [admitted(budget, 3 << 20) for _ in range(3)]
    assert [i.is_paused for i in large] == [False, False, True]
    assert not admitted(budget, 1 << 20).is_paused
    large[0].discard()
    assert not large[2].is_paused


def test_chunked_body_keeps_only_its_actual_size():
    budget = BodyBudget(4 << 20)
    intake = admitted(budget, None)
    intake.on_bytes(20_000)
    intake.on_end()
    assert (intake.state, budget.held) == (IntakeState.COMPLETE, 20_000)


def test_chunked_body_over_the_limit_is_too_large():
    intake = BodyIntake(BodyBudget(4 << 20), None, 100_000)
    intake.admit(lambda: None)
    assert intake.on_bytes(100_001) is Reason.TOO_LARGE


def test_body_that_arrived_while_waiting_is_complete_when_granted():
    budget = BodyBudget(4_000)
    running, waiting = admitted(budget, 900), admitted(budget, 500)
    waiting.on_bytes(500)
    assert waiting.on_end() is Reason.NONE
    assert waiting.state is IntakeState.WAITING
    running.release()
    assert waiting.state is IntakeState.COMPLETE


def test_body_that_ends_early_is_refused():
    intake = admitted(BodyBudget(2_000), 900)
    intake.on_bytes(899)
    assert intake.on_end() is Reason.BODY_INCOMPLETE
    assert intake.state is not IntakeState.COMPLETE


def test_timeout_tells_a_missing_body_from_missing_room():
    """A client whose body trickles in gets 408; one that was never read gets 503."""
    budget = BodyBudget(4_000)
    reading, waiting = admitted(budget, 900), admitted(budget, 900)
    assert reading.on_timeout() is Reason.BODY_TIMEOUT
    assert waiting.on_timeout() is Reason.NO_BODY_ROOM


@given(
    st.lists(
        st.tuples(
            st.sampled_from(("open", "bytes", "end", "discard", "release")),
            st.integers(0, 9),
            st.one_of(st.none(), st.integers(1, 1_000)),
        ),
        max_size=60,
    )
)
def test_budget_is_never_exceeded_and_fully_returned(events):
    budget = BodyBudget(2_000)
    intakes: list[BodyIntake] = []
    for event, index, number in events:
        if event == "open":
            intakes.append(admitted(budget, number))
        elif intakes:
            intake = intakes[index % len(intakes)]
            if event == "bytes":
                if intake.on_bytes(number or 1) is not Reason.NONE:
                    intake.discard()
            elif event == "end":
                intake.on_end()
            elif event == "discard":
                intake.discard()
            elif intake.state is IntakeState.COMPLETE:
                intake.release()
        assert 0 <= budget.held <= budget.capacity
        assert 0 <= budget.large_held <= budget.large_room
    for intake in intakes:
        intake.discard()
    assert (budget.held, budget.large_held, budget.waiting) == (0, 0, 0)


@pytest.mark.parametrize(
    ("seconds", "count", "may_continue"),
    [(0.9, 999_999, True), (1.0, 1, False), (0.0, 1_000_000, False)],
)
def test_refused_body_is_read_for_a_bounded_time_and_size(seconds, count, may_continue):
    clock = ManualClock()
    bound = DrainBound(clock)
    clock.advance(seconds)
    assert bound.on_bytes(count) is may_continue
