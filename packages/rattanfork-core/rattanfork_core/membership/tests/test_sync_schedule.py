"""Times and targets of view exchanges, with seeds that are up, late or removed."""

from random import Random

import pytest
from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import Member, SyncSchedule

SEED = ("127.0.0.1", 7)


def member(number: int) -> Member:
    return Member(f"w{number}", "b", "s", "dc", "127.0.0.1", number, number, 8)


def exchanges_of(
    schedule: SyncSchedule, clock: ManualClock, present, seconds: float
) -> list:
    """Return the times and targets of exchanges; each exchange takes 50 ms."""
    exchanges = []
    for _ in range(int(seconds * 20)):
        if schedule.due():
            exchanges.append((clock.now(), schedule.begin(present[0], present)))
            schedule.end(present[0], present)
        clock.advance(0.05)
    return exchanges


@pytest.mark.parametrize("seed", range(20))
def test_seed_that_was_down_is_contacted_again_within_a_second(seed):
    # Three nodes start together.  Two find each other before the seed listens; the
    # seed has no seed itself, so only another node can contact it.  With an exchange
    # every ten seconds, one in ten of them with a seed, it would be isolated for
    # minutes.
    clock = ManualClock(100.0)
    schedule = SyncSchedule(clock, Random(seed), [SEED])
    tries = [
        at
        for at, target in exchanges_of(schedule, clock, [member(1), member(2)], 5)
        if target == SEED
    ]
    assert len(tries) >= 3
    assert tries[1] - tries[0] < 1.0


def test_seed_that_was_removed_is_tried_a_bounded_number_of_times():
    clock = ManualClock(100.0)
    schedule = SyncSchedule(clock, Random(1), [SEED])
    exchanges = exchanges_of(schedule, clock, [member(1), member(2)], 600)
    tries = [at for at, target in exchanges if target == SEED]
    assert len(tries) < 50
    assert len(exchanges) - len(tries) > 20


def test_known_seed_does_not_shorten_the_interval():
    clock = ManualClock(100.0)
    schedule = SyncSchedule(clock, Random(1), [SEED])
    exchanges = exchanges_of(schedule, clock, [member(1), member(2), member(7)], 600)
    assert len(exchanges) < 70


def test_node_that_knows_no_other_contacts_its_seed_several_times_a_second():
    clock = ManualClock(100.0)
    schedule = SyncSchedule(clock, Random(1), [SEED])
    assert len(exchanges_of(schedule, clock, [member(1)], 3)) > 6
