"""The load of a fleet that asks the store in turn, and how old its word gets.

The pattern: a change is accepted while every watch of the fleet is dead.  It is in
force everywhere within 2 s if no node that hears its group goes longer than 1.5 s
without a confirmation; some 0.4 s more go by until the last node has fetched it.
The grounds of the figures: datagrams between nodes take 0.5 to 3 ms, a question
some 10 ms, and a node looks at its schedule every 50 ms.
"""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.revision import ConfirmationSchedule

_TICK = 0.05
_QUESTION = 0.01
#: Seconds that a datagram takes.
_CROSSING = 0.003
_SECONDS = 60.0
_OLDEST = 1.5


class Group:
    """Nodes that ask in turn, on one clock."""

    def __init__(self, size: int, seed: int) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.schedules = [
            ConfirmationSchedule(self.clock, Random(seed * 1000 + n))
            for n in range(size)
        ]
        for schedule in self.schedules:
            schedule.set_group(size, size, is_member=True)
        #: Where each node is in its tick.
        self.offsets = [self.random.uniform(0, _TICK) for _ in range(size)]
        self.cut_off: set[int] = set()
        self.asked = 0
        self.oldest = 0.0

    def run(self, seconds: float) -> None:
        """Let time pass; count the questions and note the oldest word."""
        events = [(offset, n, "look") for n, offset in enumerate(self.offsets)]
        end = self.clock.now() + seconds
        begun: dict[int, float] = {}
        while events:
            events.sort()
            at, node, what = events.pop(0)
            if at > end:
                break
            self.clock.advance(max(0.0, at - self.clock.now()))
            schedule = self.schedules[node]
            if what == "look":
                self.oldest = max(self.oldest, schedule.age)
                events.append((at + _TICK, node, "look"))
                if schedule.due():
                    schedule.begin()
                    begun[node] = at
                    events.append((at + _QUESTION, node, "answer"))
            elif what == "answer":
                self.asked += 1
                succeeded = node not in self.cut_off
                schedule.end(succeeded)
                if succeeded:
                    events += [
                        (at + _CROSSING, other, "heard")
                        for other in range(len(self.schedules))
                        if other != node
                    ]
            else:
                schedule.on_confirmation(_QUESTION + _CROSSING)


@pytest.mark.parametrize("size", [1, 3, 12, 20, 60])
def test_a_group_asks_a_bounded_number_of_times_and_no_word_gets_old(size):
    """Whatever its size, a group asks about twice a second.

    The store takes two thousand reads a second from the whole fleet; a group of
    sixty is that of fifteen data centres.
    """
    group = Group(size, seed=7)
    group.run(_SECONDS)
    assert group.oldest <= _OLDEST
    assert group.asked <= 2.5 * _SECONDS


@pytest.mark.parametrize("share", [0.3, 0.7])
def test_nodes_that_the_store_turns_away_do_not_make_the_others_words_old(share):
    """The store answers some nodes and turns away the rest.

    Those that are turned away ask in vain and pause; the others' turn comes
    before any word is too old.
    """
    group = Group(12, seed=3)
    group.cut_off = set(range(int(12 * share)))
    group.run(_SECONDS)
    assert group.oldest <= _OLDEST


@given(
    st.lists(
        st.tuples(st.floats(0, 3), st.sampled_from(["hear", "yes", "no"])),
        max_size=40,
    )
)
def test_a_node_alone_asks_again_whatever_it_hears(events):
    """Words of others only delay a question by what they confirm."""
    clock = ManualClock()
    schedule = ConfirmationSchedule(clock, Random(1))
    for seconds, what in events:
        clock.advance(seconds)
        if what == "hear":
            schedule.on_confirmation(seconds)
        elif schedule.due():
            schedule.begin()
            schedule.end(what == "yes")
    clock.advance(_OLDEST)
    assert schedule.due()


def test_a_word_of_a_node_that_was_paused_does_not_make_a_younger_one_older():
    clock = ManualClock()
    schedule = ConfirmationSchedule(clock, Random(1))
    clock.advance(0.5)
    schedule.on_confirmation(0.1)
    schedule.on_confirmation(30.0)
    assert schedule.age == pytest.approx(0.1)


def test_the_first_word_heard_counts_from_when_it_was_the_stores():
    """It may be older than the node that hears it."""
    clock = ManualClock()
    schedule = ConfirmationSchedule(clock, Random(1))
    clock.advance(0.1)
    assert not schedule.confirmed
    schedule.on_confirmation(0.4)
    assert schedule.confirmed
    assert schedule.age == pytest.approx(0.4)


def test_who_does_not_ask_waits_for_those_who_do():
    """Of 17,000 nodes, sixty ask; the others would ask too if all were in turn."""
    clock = ManualClock()
    schedule = ConfirmationSchedule(clock, Random(1))
    schedule.set_group(60, 17_000, is_member=False)
    schedule.on_confirmation(0.0)
    clock.advance(6.0)
    assert not schedule.due()
    clock.advance(3.5)
    assert schedule.due()
