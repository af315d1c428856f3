"""Tests of the order and timing of a node's shutdown."""

import asyncio

import pytest
from rattanfork_core.clock import Clock
from rattanfork_node.app.shutdown import Shutdown

GRACE = 6.0


class SteppingClock(Clock):
    """A clock that advances by 0.05 s each time it is read."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def now(self) -> float:
        self.seconds += 0.05
        return self.seconds

    @property
    def elapsed(self) -> float:
        return self.seconds - 100.0


class DrainingNode:
    """Gate, server and gossip of a node; records when they begin to leave."""

    def __init__(self, busy_seconds: float = 0.0) -> None:
        self.clock = SteppingClock()
        self.busy_seconds = busy_seconds
        self.accepting = True
        self.events: dict[str, float] = {}

    @property
    def outstanding(self) -> int:
        return int(self.clock.elapsed < self.busy_seconds)

    @property
    def in_flight(self) -> int:
        return self.outstanding

    def leave(self) -> None:
        """Serves as ``leave`` of the gate, the server and the gossip task."""
        self.events["left"] = self.clock.elapsed

    def detach(self) -> None:
        self.accepting = False
        self.events["detached"] = self.clock.elapsed

    def shut_down(self) -> int:
        shutdown = Shutdown(self.clock, GRACE, self, self, self)
        shutdown.begin()
        return asyncio.run(shutdown.finish())


@pytest.fixture(autouse=True)
def no_poll_delay(monkeypatch):
    monkeypatch.setattr("rattanfork_node.app.shutdown._POLL_INTERVAL_S", 0.0)


def test_draining_node_accepts_runs_until_its_leaving_has_spread():
    """Guards against two of three instances being unavailable in a rolling restart.

    The nodes restart 2 s apart.  One that announced its leaving at once was
    unavailable for 3.4 s, beyond the restart of the next one.
    """
    node = DrainingNode(busy_seconds=4.0)
    assert node.shut_down() == 0
    assert 1.5 < node.events["left"] < 2.0
    assert node.events["detached"] > node.events["left"] + 0.39


def test_idle_draining_node_serves_until_two_readiness_checks_failed():
    """Guards against connections refused at the port of a node that exited early.

    Clients check readiness every second and stop using a node after two failures.
    """
    node = DrainingNode()
    assert node.shut_down() == 0
    assert 2.5 < node.clock.elapsed < 3.0


def test_endless_request_is_cut_off_before_the_process_is_killed():
    node = DrainingNode(busy_seconds=1e9)
    assert node.shut_down() == 1
    assert 0.8 * GRACE < node.clock.elapsed < GRACE
