"""Which upstream a node hands work to: announcements, probes and restarts."""

import asyncio
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.announcements import Announcement
from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import Membership
from rattanfork_core.routes import Configuration, ServiceConfig
from rattanfork_node.app.upstream_monitor import UpstreamMonitor
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.config.tests.fakes import member
from rattanfork_node.relay.tests.fakes import GateHarness
from rattanfork_node.telemetry import Counters


class FakeProber:
    """Answers a probe when the test says so."""

    def __init__(self) -> None:
        self.asked = 0
        self.answer: str | None = None

    async def ask(self, path: str) -> str | None:
        self.asked += 1
        return self.answer


class World:
    """A keeper that has just been started, with its gate still closed."""

    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.gate = GateHarness().gate
        self.gate.detach()
        self.gate._upstream = None
        self.prober = FakeProber()
        self.waiting: list = []
        holder = ConfigurationHolder(
            lambda _: Configuration(1, (), {"s": ServiceConfig("/health", 9)})
        )
        holder.offer(b"-")
        self.membership = Membership(self.clock, Random(1), member("me"))
        self.keeper = UpstreamMonitor(
            self.clock,
            self.gate,
            self.membership,
            holder,
            self.prober,
            "s",
            ("127.0.0.1", 1),
            Counters(),
            self.waiting.append,
        )

    def announce(
        self, name: str, sequence: int, leaving: bool = False, born: int = 0
    ) -> bool:
        return self.keeper.on_announcement(
            Announcement(name, "s", "127.0.0.1", 1, 8, sequence, leaving, 0.0, born)
        )

    def probe(self, answer: str | None) -> None:
        """Let the keeper probe if it wants to, with an answer."""
        self.clock.advance(1.0)
        self.keeper.tick()
        self.finish(answer)

    def finish(self, answer: str | None) -> None:
        self.prober.answer = answer
        while self.waiting:
            asyncio.run(self.waiting.pop())

    @property
    def serving(self) -> str | None:
        """Name of the upstream that gets new work."""
        return self.gate.upstream.name if self.gate.accepting else None


def test_a_node_restarted_beside_an_upstream_serves_before_it_announces_itself():
    world = World()
    world.probe("i1")
    assert world.serving == "i1"


def test_a_node_restarted_beside_a_leaving_upstream_hands_it_nothing():
    """The node that acknowledged the leaving was killed, and knows it no more.

    The upstream refuses probes while it leaves, and says so again with its
    next announcement; until then nothing is handed over.
    """
    world = World()
    world.probe(None)
    assert world.serving is None
    world.announce("i1", 7, leaving=True)
    world.probe("i1")
    assert world.serving is None


def test_a_probe_on_its_way_does_not_undo_an_acknowledged_leaving():
    """A probe was answered just before the upstream said that it leaves."""
    world = World()
    world.clock.advance(1.0)
    world.keeper.tick()
    world.announce("i1", 3, leaving=True)
    world.finish("i1")
    assert world.serving is None


def test_a_late_announcement_of_a_dead_incarnation_changes_nothing():
    """A crashed incarnation's announcement was held up by a cut link.

    It comes after its successor at the same address has announced itself.
    """
    world = World()
    world.announce("i1", 5)
    world.announce("i2", 1)
    world.announce("i1", 6)
    world.announce("i1", 7, leaving=True)
    assert world.serving == "i2"


def test_who_has_left_is_not_attached_by_a_probe():
    world = World()
    world.announce("i1", 1)
    world.keeper.on_leave("i1")
    world.probe("i1")
    assert world.serving is None


def test_a_leaving_node_attaches_nobody():
    world = World()
    world.keeper.close()
    world.announce("i1", 1)
    world.probe("i1")
    assert world.serving is None
    assert world.prober.asked == 0


def test_an_upstream_that_starts_again_under_its_id_gets_work():
    """A node stays while its upstream crashes and starts again.

    It has the ID it had, and its counts start anew.  The peers hear that it is
    another, so that they don't take the old one's pace for its own.
    """
    world = World()
    world.announce("i1", 9, born=1000)
    world.announce("i1", 10, leaving=True, born=1000)
    assert world.serving is None
    world.announce("i1", 1, born=2000)
    assert world.serving == "i1"
    assert world.membership.me.succession == 1
    world.keeper.on_leave("i1", 1000)
    world.announce("i1", 11, leaving=True, born=1000)
    assert world.serving == "i1"


def test_a_probe_and_an_announcement_speak_of_one_incarnation():
    world = World()
    world.probe("i1")
    world.announce("i1", 4, born=1000)
    assert world.membership.me.succession == 0
    assert world.gate.upstream.born == 1000


def test_an_upstream_of_another_service_gets_no_work():
    """The announcement of another service's upstream reaches this node.

    Attached, it would run requests that are meant for this node's service.
    """
    world = World()
    foreign = Announcement("i9", "other", "127.0.0.1", 1, 8, 1)
    assert not world.keeper.on_announcement(foreign)
    assert world.serving is None


#: Sequence from which an upstream's announcements say that it leaves.
LEAVES_AT = 4
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["announcement", "gone", "probe", "unanswered"]),
        st.sampled_from(["i1", "i2", "i3"]),
        st.integers(1, 6),
    ),
    max_size=25,
)


@given(EVENTS)
def test_after_an_acknowledgement_nobody_who_leaves_gets_work(events):
    """Announcements come late, twice and out of order, with probes in between.

    Once an upstream has said that it leaves, or that it is gone, and the node
    has acknowledged that, it gets nothing, whatever comes afterwards.
    """
    world = World()
    out: set[str] = set()
    for kind, name, sequence in events:
        if kind == "announcement":
            leaving = sequence >= LEAVES_AT
            world.announce(name, sequence, leaving)
            if leaving:
                out.add(name)
        elif kind == "gone":
            world.keeper.on_leave(name)
            out.add(name)
        else:
            # One that leaves refuses probes.
            world.probe(name if kind == "probe" and name not in out else None)
        assert world.serving not in out
