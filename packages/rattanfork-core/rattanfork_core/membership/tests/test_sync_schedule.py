"""Whom a node asks for its view, and when."""

from random import Random

import pytest
from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import Member, SyncSchedule

SEED = ("127.0.0.1", 7)


def member(number: int) -> Member:
    return Member(f"w{number}", "b", "s", "dc", "127.0.0.1", number, number, 8)


def asked(schedule: SyncSchedule, clock: ManualClock, present, seconds: float) -> list:
    """Return when whom is asked in a time, each try taking 50 ms."""
    found = []
    for _ in range(int(seconds * 20)):
        if schedule.due():
            found.append((clock.now(), schedule.begin(present[0], present)))
            schedule.end(present[0], present)
        clock.advance(0.05)
    return found


@pytest.mark.parametrize("seed", range(20))
def test_a_seed_that_was_down_is_asked_again_soon(seed):
    # Three nodes start at once.  Two find each other before the seed listens;
    # the seed has no seed itself and waits to be asked.  At ten seconds a
    # comparison, one in ten of them at a seed, it was alone for minutes.
    clock = ManualClock(100.0)
    schedule = SyncSchedule(clock, Random(seed), [SEED])
    tries = [
        at
        for at, whom in asked(schedule, clock, [member(1), member(2)], 5)
        if whom == SEED
    ]
    assert len(tries) >= 3
    assert tries[1] - tries[0] < 1.0


def test_a_seed_that_is_gone_for_good_costs_a_bounded_number_of_tries():
    clock = ManualClock(100.0)
    schedule = SyncSchedule(clock, Random(1), [SEED])
    all_asked = asked(schedule, clock, [member(1), member(2)], 600)
    tries = [at for at, whom in all_asked if whom == SEED]
    assert len(tries) < 50
    assert len(all_asked) - len(tries) > 20


def test_a_known_seed_is_asked_as_rarely_as_before():
    clock = ManualClock(100.0)
    schedule = SyncSchedule(clock, Random(1), [SEED])
    all_asked = asked(schedule, clock, [member(1), member(2), member(7)], 600)
    assert len(all_asked) < 70


def test_a_node_that_knows_nobody_asks_several_times_a_second():
    clock = ManualClock(100.0)
    schedule = SyncSchedule(clock, Random(1), [SEED])
    assert len(asked(schedule, clock, [member(1)], 3)) > 6
