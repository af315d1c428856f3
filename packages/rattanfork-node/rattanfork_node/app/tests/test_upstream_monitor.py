"""Tests of attaching and detaching upstreams by announcements and probes."""

import asyncio
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.announcements import Announcement
from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import Membership
from rattanfork_core.retirement import Retirement
from rattanfork_core.routes import Configuration, ServiceConfig
from rattanfork_node.app import upstream_monitor
from rattanfork_node.app.upstream_monitor import UpstreamMonitor
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.config.tests.fakes import member
from rattanfork_node.http1 import UpstreamResponse
from rattanfork_node.relay.tests.fakes import GateHarness
from rattanfork_node.telemetry import Counters


class FakeProber:
    """Prober whose response the test sets."""

    def __init__(self) -> None:
        self.asked = 0
        self.answer: str | None = None

    async def ask(self, path: str) -> str | None:
        self.asked += 1
        return self.answer


class FakeRetirements:
    """Retirements that are kept for as long as the test runs."""

    def __init__(self) -> None:
        self.known = True
        self.own: list[Retirement] = []
        self.on_learned = None

    def retire(self, upstream: str, born: int) -> None:
        self.own.append(Retirement("me", upstream, born))

    def retired_start(self, upstream: str) -> int | None:
        starts = [entry.born for entry in self.own if entry.upstream == upstream]
        return max(starts, default=None)

    def learn(self) -> None:
        """Complete the start of a process."""
        self.known = True
        self.on_learned()


class MonitorHarness:
    """A newly started upstream monitor with a closed gate."""

    def __init__(self, retirements: FakeRetirements | None = None) -> None:
        self.clock = ManualClock(100.0)
        self.gate = GateHarness().gate
        self.gate.detach()
        self.gate._upstream = None
        self.prober = FakeProber()
        self.retirements = retirements or FakeRetirements()
        self.waiting: list = []
        holder = ConfigurationHolder(
            lambda _: Configuration(1, (), {"s": ServiceConfig("/health", 9)})
        )
        holder.offer(b"-")
        self.membership = Membership(self.clock, Random(1), member("me"))
        self.monitor = UpstreamMonitor(
            self.clock,
            self.gate,
            self.membership,
            holder,
            self.prober,
            self.retirements,
            "s",
            ("127.0.0.1", 1),
            Counters(),
            self.waiting.append,
        )

    def announce(
        self, name: str, sequence: int, leaving: bool = False, born: int = 0
    ) -> bool:
        return self.monitor.on_announcement(
            Announcement(name, "s", "127.0.0.1", 1, 8, sequence, leaving, 0.0, born)
        )

    def probe(self, answer: str | None) -> None:
        """Advance time; if the monitor probes, complete the probe with ``answer``."""
        self.clock.advance(1.0)
        self.monitor.tick()
        self.finish(answer)

    def finish(self, answer: str | None) -> None:
        self.prober.answer = answer
        while self.waiting:
            asyncio.run(self.waiting.pop())

    def state_leaving(self) -> None:
        """Let the attached upstream state in a response that it leaves."""
        headers = {b"rattanfork-leaving": b"1"}
        self.gate.advertised.on_response(UpstreamResponse(200, b"", b"", headers))

    @property
    def serving(self) -> str | None:
        """Name of the upstream that receives new requests."""
        return self.gate.upstream.name if self.gate.accepting else None


def test_restarted_node_attaches_probed_upstream_before_its_announcement():
    harness = MonitorHarness()
    harness.probe("i1")
    assert harness.serving == "i1"


def test_restarted_node_does_not_attach_leaving_upstream():
    """Guards against attaching an upstream that had announced its leaving.

    The node was killed after acknowledging that announcement.  A leaving upstream
    refuses probes and repeats the announcement.
    """
    harness = MonitorHarness()
    harness.probe(None)
    assert harness.serving is None
    harness.announce("i1", 7, leaving=True)
    harness.probe("i1")
    assert harness.serving is None


def test_probe_in_flight_does_not_revert_acknowledged_leaving():
    """The probe was answered just before the upstream announced its leaving."""
    harness = MonitorHarness()
    harness.clock.advance(1.0)
    harness.monitor.tick()
    harness.announce("i1", 3, leaving=True)
    harness.finish("i1")
    assert harness.serving is None


def test_late_announcement_of_dead_incarnation_is_ignored():
    """Guards against a delayed announcement that replaces the current upstream.

    A network partition delayed the announcements of a crashed incarnation until its
    successor at the same address had announced itself.
    """
    harness = MonitorHarness()
    harness.announce("i1", 5)
    harness.announce("i2", 1)
    harness.announce("i1", 6)
    harness.announce("i1", 7, leaving=True)
    assert harness.serving == "i2"


def test_upstream_that_left_is_not_attached_by_probe():
    harness = MonitorHarness()
    harness.announce("i1", 1)
    harness.monitor.on_leave("i1")
    harness.probe("i1")
    assert harness.serving is None


def test_leaving_node_attaches_no_upstream():
    harness = MonitorHarness()
    harness.monitor.close()
    harness.announce("i1", 1)
    harness.probe("i1")
    assert harness.serving is None
    assert harness.prober.asked == 0


def test_upstream_restarted_with_same_id_is_attached():
    """An upstream restarts with its old ID and a new announcement sequence.

    Its ``succession`` increases, so that other nodes don't apply the performance
    of the old incarnation to the new one.
    """
    harness = MonitorHarness()
    harness.announce("i1", 9, born=1000)
    harness.announce("i1", 10, leaving=True, born=1000)
    assert harness.serving is None
    harness.announce("i1", 1, born=2000)
    assert harness.serving == "i1"
    assert harness.membership.me.succession == 1
    harness.monitor.on_leave("i1", 1000)
    harness.announce("i1", 11, leaving=True, born=1000)
    assert harness.serving == "i1"


def test_probe_and_announcement_of_same_incarnation_are_merged():
    harness = MonitorHarness()
    harness.probe("i1")
    harness.announce("i1", 4, born=1000)
    assert harness.membership.me.succession == 0
    assert harness.gate.upstream.born == 1000


def test_upstream_that_states_leaving_in_a_response_is_detached_for_good():
    """Guards against announcements as ready that attach a leaving upstream again."""
    harness = MonitorHarness()
    harness.announce("i1", 1)
    harness.state_leaving()
    assert harness.serving is None
    assert not harness.membership.me.ready
    harness.announce("i1", 2)
    harness.probe("i1")
    assert harness.serving is None
    harness.announce("i2", 1)
    assert harness.serving == "i2"


def test_restart_with_same_id_is_attached_after_leaving_stated_in_a_response():
    harness = MonitorHarness()
    harness.announce("i1", 5, born=1000)
    harness.state_leaving()
    harness.announce("i1", 6, born=1000)
    assert harness.serving is None
    harness.announce("i1", 1, born=2000)
    assert harness.serving == "i1"


def test_late_announcement_does_not_revert_deregistration_of_probed_upstream():
    """Guards against a retired start time that is lower than the true one.

    Neither the probe nor the deregistration states when the upstream started.
    """
    harness = MonitorHarness()
    harness.probe("i1")
    harness.monitor.on_leave("i1")
    harness.announce("i1", 9, born=1000)
    assert harness.serving is None
    harness.announce("i1", 1, born=2000)
    assert harness.serving == "i1"


@pytest.mark.parametrize("kept", [True, False])
def test_started_process_keeps_the_retirements_of_its_predecessor(kept):
    """Guards against a late announcement at a process that has just started.

    It may come before or after the process has read what its predecessors retired.
    """
    retirements = FakeRetirements()
    MonitorHarness(retirements).announce("i1", 7, leaving=True, born=1000)
    retirements.known = False
    harness = MonitorHarness(retirements)
    if kept:
        retirements.learn()
    harness.announce("i1", 6, born=1000)
    harness.probe("i1")
    assert harness.serving is None
    retirements.learn()
    assert harness.serving is None
    harness.probe("i1")
    assert harness.serving is None
    harness.announce("i1", 1, born=2000)
    assert harness.serving == "i1"


def test_announced_upstream_is_attached_as_soon_as_retirements_are_known():
    """Guards against an upstream that waits for its next announcement."""
    retirements = FakeRetirements()
    retirements.known = False
    harness = MonitorHarness(retirements)
    harness.announce("i1", 1)
    assert harness.serving is None
    retirements.learn()
    assert harness.serving == "i1"


def test_retirement_that_is_learned_late_detaches_its_upstream():
    """Guards against a store that answers after the upstream was attached."""
    harness = MonitorHarness()
    harness.announce("i1", 1, born=1000)
    harness.retirements.retire("i1", 1000)
    harness.retirements.learn()
    assert harness.serving is None


def test_upstream_of_another_service_is_not_attached():
    """Guards against requests being executed by an upstream of another service."""
    harness = MonitorHarness()
    foreign = Announcement("i9", "other", "127.0.0.1", 1, 8, 1)
    assert not harness.monitor.on_announcement(foreign)
    assert harness.serving is None


def test_late_announcement_of_a_predecessor_does_not_replace_an_upstream_for_good():
    """Guards against a running upstream whose announcements are all rejected.

    Its announcement arrived first; its predecessor had crashed before.  Requests for
    the predecessor are refused with 421, and a probe identifies the upstream there.
    """
    harness = MonitorHarness()
    harness.announce("i2", 3)
    harness.announce("i1", 9)
    harness.gate.misdirected = True
    harness.probe("i2")
    assert harness.serving == "i2"
    harness.announce("i1", 8)
    harness.announce("i2", 4)
    assert harness.serving == "i2"


@pytest.mark.parametrize("leaves", ["before", "after", "deregisters"])
def test_upstream_that_left_is_not_attached_because_another_is_gone(leaves):
    """Guards against a probe that reverts an acknowledged leaving."""
    harness = MonitorHarness()
    harness.announce("i2", 3)
    if leaves == "before":
        harness.announce("i2", 4, leaving=True)
    harness.announce("i1", 9)
    if leaves == "after":
        harness.announce("i2", 4, leaving=True)
    elif leaves == "deregisters":
        harness.monitor.on_leave("i2")
    harness.gate.misdirected = True
    harness.probe("i2")
    assert harness.serving != "i2"


def test_log_states_what_attached_an_upstream(monkeypatch):
    """Guards against an attachment whose evidence no log line tells."""
    lines = []
    monkeypatch.setattr(
        upstream_monitor,
        "log_change",
        lambda what, **fields: lines.append((what, fields)),
    )
    harness = MonitorHarness()
    harness.probe("i1")
    harness.announce("i2", 4, born=7)
    harness.announce("i2", 3, born=7)
    [probed, announced, ignored] = lines
    assert (probed[1]["source"], probed[1]["node_age_s"]) == ("probe", 1.0)
    assert (announced[1]["source"], announced[1]["sequence"]) == ("announcement", 4)
    assert (ignored[0], ignored[1]["sequence"]) == ("announcement_ignored", 3)


#: Sequence number from which an upstream's announcements state its leaving.
LEAVES_AT = 4
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                *("announcement", "gone", "probe", "unanswered", "lying probe"),
                *("misdirected", "restart", "restart", "learned"),
            ]
        ),
        st.sampled_from(["i1", "i2", "i3"]),
        st.integers(1, 6),
    ),
    max_size=25,
)


@given(EVENTS)
def test_upstream_gets_no_requests_after_acknowledged_leaving(events):
    """Announcements are delayed, repeated and reordered, with probes in between.

    The node's process is replaced at any time; a leaving upstream may respond as
    healthy.  After the node has acknowledged that an upstream leaves or is gone, no
    later event may attach it.
    """
    harness = MonitorHarness()
    left: set[str] = set()
    for kind, name, sequence in events:
        if kind == "announcement":
            leaving = sequence >= LEAVES_AT
            harness.announce(name, sequence, leaving)
            if leaving:
                left.add(name)
        elif kind == "gone":
            harness.monitor.on_leave(name)
            left.add(name)
        elif kind == "misdirected":
            harness.gate.misdirected = True
        elif kind == "restart":
            harness.retirements.known = False
            harness = MonitorHarness(harness.retirements)
            if sequence < LEAVES_AT:
                harness.retirements.learn()
        elif kind == "learned":
            harness.retirements.learn()
        elif kind == "lying probe":
            harness.probe(name)
        else:
            # A leaving upstream refuses probes.
            harness.probe(name if kind == "probe" and name not in left else None)
        assert harness.serving not in left


@pytest.mark.parametrize("place", [0, 150, 299])
def test_late_announcement_is_ignored_whatever_else_has_left_before(place):
    """Guards against an upstream back in service after its leaving, at a new process.

    Its instance has had many upstreams, of which the process reads all retirements, in
    any order.
    """
    retirements = FakeRetirements()
    for number in range(300):
        retirements.retire("last" if number == place else f"u{number}", 0)
    harness = MonitorHarness(retirements)
    retirements.learn()
    harness.announce("last", 7)
    assert harness.serving is None
    harness.probe("last")
    assert harness.serving is None
    harness.announce("next", 1)
    assert harness.serving == "next"
