"""Rate of polls of the store, and greatest age of a confirmation.

A change that is accepted while all watches are lost has to be in force everywhere
within 2 s.  It takes some 0.4 s until the last node has fetched it, so no node that
receives the confirmations of its group may go without one for longer than 1.5 s.
Simulated times: a datagram takes 0.5 to 3 ms, a poll of the store some 10 ms, and a
node checks its schedule every 50 ms.
"""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.revision import ConfirmationSchedule

_TICK_S = 0.05
_POLL_S = 0.01
_DATAGRAM_S = 0.003
_DURATION_S = 60.0
_MAX_AGE_S = 1.5


class Group:
    """Simulated group of nodes that take turns polling the store."""

    def __init__(self, size: int, seed: int) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.schedules = [
            ConfirmationSchedule(self.clock, Random(seed * 1000 + n))
            for n in range(size)
        ]
        for schedule in self.schedules:
            schedule.set_group(size, size, is_member=True)
        self.first_ticks = [self.random.uniform(0, _TICK_S) for _ in range(size)]
        self.cut_off: set[int] = set()
        self.polls = 0
        self.max_age = 0.0

    def run(self, seconds: float) -> None:
        """Simulate some seconds; count the polls and record the greatest age."""
        events = [(at, n, "tick") for n, at in enumerate(self.first_ticks)]
        end = self.clock.now() + seconds
        sent: dict[int, float] = {}
        while events:
            events.sort()
            at, node, kind = events.pop(0)
            if at > end:
                break
            self.clock.advance(max(0.0, at - self.clock.now()))
            schedule = self.schedules[node]
            if kind == "tick":
                self.max_age = max(self.max_age, schedule.age)
                events.append((at + _TICK_S, node, "tick"))
                if schedule.due():
                    schedule.begin()
                    sent[node] = at
                    events.append((at + _POLL_S, node, "answer"))
            elif kind == "answer":
                self.polls += 1
                succeeded = node not in self.cut_off
                schedule.end(succeeded)
                if succeeded:
                    events += [
                        (at + _DATAGRAM_S, other, "datagram")
                        for other in range(len(self.schedules))
                        if other != node
                    ]
            else:
                schedule.on_confirmation(_POLL_S + _DATAGRAM_S)


@pytest.mark.parametrize("size", [1, 3, 12, 20, 60])
def test_group_of_any_size_keeps_rate_and_age_within_bounds(size):
    """A group of any size sends about two polls a second.

    The store serves two thousand reads a second to the whole fleet; a fleet in
    fifteen data centres has a group of sixty.
    """
    group = Group(size, seed=7)
    group.run(_DURATION_S)
    assert group.max_age <= _MAX_AGE_S
    assert group.polls <= 2.5 * _DURATION_S


@pytest.mark.parametrize("fraction", [0.3, 0.7])
def test_nodes_cut_off_from_the_store_do_not_raise_the_age_at_others(fraction):
    """The store answers some nodes and refuses the others.

    Refused nodes pause after each failure, so that another node of the group polls
    before any confirmation is too old.
    """
    group = Group(12, seed=3)
    group.cut_off = set(range(int(12 * fraction)))
    group.run(_DURATION_S)
    assert group.max_age <= _MAX_AGE_S


@given(
    st.lists(
        st.tuples(
            st.floats(0, 3), st.sampled_from(["confirmation", "success", "failure"])
        ),
        max_size=40,
    )
)
def test_node_without_new_confirmations_polls_again_after_any_history(events):
    """A confirmation never delays the next poll beyond the maximum age."""
    clock = ManualClock()
    schedule = ConfirmationSchedule(clock, Random(1))
    for seconds, kind in events:
        clock.advance(seconds)
        if kind == "confirmation":
            schedule.on_confirmation(seconds)
        elif schedule.due():
            schedule.begin()
            schedule.end(kind == "success")
    clock.advance(_MAX_AGE_S)
    assert schedule.due()


def test_old_confirmation_does_not_replace_a_newer_one():
    clock = ManualClock()
    schedule = ConfirmationSchedule(clock, Random(1))
    clock.advance(0.5)
    schedule.on_confirmation(0.1)
    schedule.on_confirmation(30.0)
    assert schedule.age == pytest.approx(0.1)


def test_first_confirmation_may_be_older_than_the_node():
    """The age must not be limited to the time since the start of the node."""
    clock = ManualClock()
    schedule = ConfirmationSchedule(clock, Random(1))
    clock.advance(0.1)
    assert not schedule.confirmed
    schedule.on_confirmation(0.4)
    assert schedule.confirmed
    assert schedule.age == pytest.approx(0.4)


def test_node_outside_the_group_waits_longer():
    """Of 17,000 nodes sixty poll the store; the others poll only if these fail."""
    clock = ManualClock()
    schedule = ConfirmationSchedule(clock, Random(1))
    schedule.set_group(60, 17_000, is_member=False)
    schedule.on_confirmation(0.0)
    clock.advance(6.0)
    assert not schedule.due()
    clock.advance(3.5)
    assert schedule.due()
