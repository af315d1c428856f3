"""Tests of the order and timing of a node's shutdown."""

import asyncio

import pytest
from rattanfork_core.clock import Clock
from rattanfork_node.app.exit_guard import EXIT_MARGIN_S
from rattanfork_node.app.shutdown import Shutdown

GRACE = 6.0


class SteppingClock(Clock):
    """A clock that advances by 0.05 s, or another step, each time it is read."""

    def __init__(self) -> None:
        self.seconds = 100.0
        self.step = 0.05

    def now(self) -> float:
        self.seconds += self.step
        return self.seconds

    @property
    def elapsed(self) -> float:
        return self.seconds - 100.0


class StoppedPeers:
    """What other nodes have not received yet."""

    def __init__(self) -> None:
        self.waiting_replies = 0
        self.undelivered_bytes = 0


class DrainingNode:
    """Gate, server and gossip of a node; records when they begin to leave."""

    def __init__(self, busy_seconds: float = 0.0) -> None:
        self.clock = SteppingClock()
        self.busy_seconds = busy_seconds
        self.accepting = True
        #: Whether requests that are given up get their final responses.
        self.answers_given_up = True
        #: Bytes that clients have not read, and how many they read each second.
        self.unread_bytes = 0
        self.read_rate = 0
        self.peers = StoppedPeers()
        self.accepted = 0
        self.events: dict[str, float] = {}

    @property
    def outstanding(self) -> int:
        return int(self.clock.elapsed < self.busy_seconds)

    @property
    def in_flight(self) -> int:
        if "given up" in self.events and self.answers_given_up:
            return 0
        return self.outstanding

    @property
    def undelivered_bytes(self) -> int:
        return max(0, self.unread_bytes - int(self.read_rate * self.clock.elapsed))

    @property
    def unread_connections(self) -> int:
        return int(self.undelivered_bytes > 0)

    def give_up(self) -> None:
        assert "given up" not in self.events
        self.events["given up"] = self.clock.elapsed

    def leave(self) -> None:
        """Serves as ``leave`` of the gate, the server and the gossip task."""
        self.events["left"] = self.clock.elapsed

    def detach(self) -> None:
        self.accepting = False
        self.events["detached"] = self.clock.elapsed

    def shut_down(self, grace: float = GRACE) -> int:
        shutdown = Shutdown(
            self.clock, grace, self, self, self, self.give_up, self.peers
        )
        shutdown.begin()
        return asyncio.run(shutdown.finish())


@pytest.fixture(autouse=True)
def no_poll_delay(monkeypatch):
    monkeypatch.setattr("rattanfork_node.app.shutdown._POLL_INTERVAL_S", 0.0)
    monkeypatch.setattr("rattanfork_node.app.shutdown._RESPONSE_POLL_INTERVAL_S", 0.0)


def test_draining_node_accepts_runs_until_its_leaving_has_spread():
    """Guards against two of three instances being unavailable in a rolling restart.

    The nodes restart 2 s apart.  One that announced its leaving at once was
    unavailable for 3.4 s, beyond the restart of the next one.
    """
    node = DrainingNode(busy_seconds=4.0)
    assert node.shut_down() == 0
    assert 1.5 < node.events["left"] < 2.0
    assert node.events["detached"] > node.events["left"] + 0.39


@pytest.mark.parametrize("grace", [2.0, GRACE, 10.0, 30.0])
def test_idle_node_announces_its_leaving_and_refuses_runs_before_its_exit(grace):
    """Guards against runs that are sent to a node which exits unannounced."""
    node = DrainingNode()
    assert node.shut_down(grace) == 0
    assert node.events["left"] > 0.2 * min(grace, GRACE)
    assert node.events["detached"] > node.events["left"] + 0.3


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


def test_requests_in_flight_are_given_up_and_answered_before_the_exit():
    """Guards against clients whose connections close without a response."""
    node = DrainingNode(busy_seconds=1e9)
    assert node.shut_down() == 1
    assert 5.0 < node.events["given up"] < 5.3
    assert node.clock.elapsed < GRACE - EXIT_MARGIN_S


def test_request_that_gets_no_response_does_not_delay_the_exit():
    """Guards against a process that is killed at the end of its grace period."""
    node = DrainingNode(busy_seconds=1e9)
    node.answers_given_up = False
    assert node.shut_down() == 1
    assert node.clock.elapsed < GRACE - EXIT_MARGIN_S + 0.1


def test_response_is_sent_to_a_client_that_reads_slowly():
    """Guards against a truncated response: the answer was ready, but not yet read."""
    node = DrainingNode()
    node.unread_bytes, node.read_rate = 4000, 1000
    assert node.shut_down() == 0
    assert node.undelivered_bytes == 0
    assert node.clock.elapsed < 4.5


def test_reply_is_sent_to_a_peer_that_reads_slowly():
    node = DrainingNode()
    node.peers.undelivered_bytes = 100
    assert node.shut_down() == 0
    assert node.clock.elapsed > 3.5


def test_client_that_never_reads_delays_the_exit_within_the_grace_period():
    """Guards against an exit while a client that pauses has seconds left to read."""
    node = DrainingNode()
    node.unread_bytes = 4000
    assert node.shut_down() == 0
    assert 5.0 < node.clock.elapsed < GRACE - EXIT_MARGIN_S


def test_peer_that_never_reads_delays_the_exit_by_a_second():
    node = DrainingNode()
    node.peers.undelivered_bytes = 4000
    assert node.shut_down() == 0
    assert 3.5 < node.clock.elapsed < 4.5


def test_slow_client_does_not_delay_the_exit_beyond_the_grace_period():
    node = DrainingNode()
    node.unread_bytes, node.read_rate = 100_000, 1000
    node.shut_down()
    assert node.clock.elapsed < GRACE - EXIT_MARGIN_S


class LateRequest(DrainingNode):
    """A node with a request in its socket when nothing else is in flight any more."""

    @property
    def in_flight(self) -> int:
        if "received" in self.events:
            return int(self.clock.elapsed < self.events["received"] + 0.5)
        if self.clock.elapsed > 2.6:
            asyncio.get_running_loop().call_soon(self._receive)
        return 0

    def _receive(self) -> None:
        self.events.setdefault("received", self.clock.elapsed)


def test_request_that_waits_in_a_socket_is_answered_before_the_exit():
    """Guards against whole requests that are discarded unread after a stall."""
    node = LateRequest()
    assert node.shut_down() == 0
    assert node.clock.elapsed > node.events["received"] + 0.5


class ResumedNode(DrainingNode):
    """A node that stood still until shortly before its exit, its response unread."""

    def __init__(self) -> None:
        super().__init__()
        self._turns_to_read = 3

    @property
    def outstanding(self) -> int:
        if self.clock.elapsed > 3.0 and self._turns_to_read == 3:
            self.clock.seconds += 2.5
            self._take_turn()
        return int(self._turns_to_read > 0)

    def _take_turn(self) -> None:
        self._turns_to_read -= 1
        if self._turns_to_read:
            asyncio.get_running_loop().call_soon(self._take_turn)


def test_response_that_came_during_a_stall_is_read_before_requests_are_given_up():
    """Guards against 502 for a run whose response waits in the socket."""
    node = ResumedNode()
    assert node.shut_down() == 0
    assert "given up" not in node.events
    assert node.clock.elapsed > 5.5
