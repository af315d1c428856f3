"""Requests made due while another one is in progress."""

from random import Random

from rattanfork_core.clock import ManualClock
from rattanfork_core.revision import ConfirmationSchedule, PollSchedule


def test_poll_requested_during_a_poll_is_sent_right_after_it():
    """Guards against a change that waits a whole interval for the next poll.

    The poll in progress may have read the store before the change was written.
    """
    schedule = PollSchedule(ManualClock(10.0), Random(1), interval=5.0)
    schedule.begin()
    schedule.schedule_now()
    assert not schedule.due()
    schedule.end(succeeded=True)
    assert schedule.due()
    schedule.begin()
    schedule.end(succeeded=True)
    assert not schedule.due()


def test_poll_requested_during_a_poll_that_fails_waits_for_the_pause():
    """Guards against requests without a pause to a store that is away."""
    clock = ManualClock(10.0)
    schedule = PollSchedule(clock, Random(1), interval=0.5)
    schedule.begin()
    schedule.schedule_now()
    schedule.end(succeeded=False)
    assert not schedule.due()
    clock.advance(1.3)
    assert schedule.due()


def test_confirmation_requested_during_a_poll_is_polled_right_after_it():
    """Guards against a change that is not confirmed until the next wait is over."""
    clock = ManualClock(10.0)
    schedule = ConfirmationSchedule(clock, Random(1))
    schedule.begin()
    schedule.schedule_now()
    assert not schedule.due()
    schedule.end(succeeded=True)
    assert schedule.due()
    clock.advance(0.01)
    schedule.begin()
    schedule.end(succeeded=True)
    assert not schedule.due()
