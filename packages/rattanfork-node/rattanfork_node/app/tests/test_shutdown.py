"""In which order a node that is told to stop leaves."""

import asyncio

import pytest
from rattanfork_core.clock import Clock
from rattanfork_node.app.shutdown import Shutdown

GRACE = 6.0


class PassingTime(Clock):
    """A clock that moves on by a step each time it is read."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def now(self) -> float:
        self.seconds += 0.05
        return self.seconds

    @property
    def passed(self) -> float:
        return self.seconds - 100.0


class World:
    """A node that is told to stop; what it does is noted with its time."""

    def __init__(self, busy_for: float = 0.0) -> None:
        self.clock = PassingTime()
        self.busy_for = busy_for
        self.accepting = True
        self.done: dict[str, float] = {}

    @property
    def outstanding(self) -> int:
        return int(self.clock.passed < self.busy_for)

    @property
    def in_flight(self) -> int:
        return self.outstanding

    def leave(self) -> None:
        """Stand for the gate, the server and the task of the members."""
        self.done["left"] = self.clock.passed

    def detach(self) -> None:
        self.accepting = False
        self.done["detached"] = self.clock.passed

    def play(self) -> int:
        shutdown = Shutdown(self.clock, GRACE, self, self, self)
        shutdown.begin()
        return asyncio.run(shutdown.finish())


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch):
    monkeypatch.setattr("rattanfork_node.app.shutdown._LOOK", 0.0)


def test_runs_are_taken_for_a_while_after_a_node_was_told_to_stop():
    """Nodes before one service are restarted in turn, two seconds apart.

    One that told the others at once was away for 3.4 s, and the next one
    followed after two: only one of three instances was left.  So runs are taken
    on, then the others are told, and only when they have heard the gate shuts.
    """
    world = World(busy_for=4.0)
    assert world.play() == 0
    assert 1.5 < world.done["left"] < 2.0
    assert world.done["detached"] > world.done["left"] + 0.39


def test_an_idle_node_goes_on_until_clients_know_that_it_leaves():
    """Readiness is asked for each second, and two refusals take a node out.

    A process that ends sooner leaves clients who still send to a closed port.
    """
    world = World()
    assert world.play() == 0
    assert 2.5 < world.clock.passed < 3.0


def test_what_never_ends_is_cut_off_before_the_process_is_killed():
    world = World(busy_for=1e9)
    assert world.play() == 1
    assert 0.8 * GRACE < world.clock.passed < GRACE
