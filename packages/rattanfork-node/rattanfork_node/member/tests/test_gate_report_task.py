"""A gate tells how it fares, and what others tell goes on from node to node."""

from random import Random
from types import SimpleNamespace

from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import GateReportTable
from rattanfork_core.membership import GateUpdate, Member, Membership
from rattanfork_node.member.gate_report_task import GateReportTask


class Sent:
    """Keeps what is passed on."""

    def __init__(self) -> None:
        self.news: list[tuple[GateUpdate, int]] = []
        self.on_reports = None

    def pass_on(self, news: GateUpdate, count: int) -> None:
        self.news.append((news, count))


class World:
    """A node with a gate of which the test says how it fares."""

    def __init__(self, size: int = 3) -> None:
        self.clock = ManualClock(100.0)
        me = record("n0")
        self.membership = Membership(self.clock, Random(1), me)
        self.membership.merge(record(f"n{n}") for n in range(1, size))
        self.reports = GateReportTable(self.clock, me.name)
        self.sent = Sent()
        self.gate = SimpleNamespace(
            accepting=True, own_threshold=5.0, health=SimpleNamespace(impaired=False)
        )
        self.task = GateReportTask(self.reports, self.membership, self.sent, self.gate)

    def tick(self, count: int = 1) -> None:
        for _ in range(count):
            self.clock.advance(0.1)
            self.task.tick()


def record(name: str) -> Member:
    return Member(name, "b", "s", "dc1", "127.0.0.1", 1, 1, 8)


def test_on_a_calm_day_nothing_is_told():
    world = World()
    world.tick(100)
    assert not world.sent.news


def test_a_gate_that_sheds_tells_until_it_is_open_again():
    world = World()
    world.gate.own_threshold = 2.0
    world.tick(5)
    assert len(world.sent.news) == 5
    [report] = world.sent.news[-1][0].reports["s"]
    assert (report.cut, report.impaired) == (100, False)
    world.gate.own_threshold = 5.0
    world.tick(60)
    told = len(world.sent.news)
    assert world.sent.news[-1][0].reports["s"][0].cut == 250
    world.tick(20)
    assert len(world.sent.news) == told


def test_an_impaired_upstream_is_told_by_any_gate():
    """Of a hundred gates sixteen tell their thresholds; who is impaired tells so."""
    world = World(size=100)
    world.task._tells_threshold = False
    world.task._view = world.membership.version
    world.gate.own_threshold, world.gate.health.impaired = 2.0, True
    world.tick(5)
    [report] = world.sent.news[-1][0].reports["s"]
    assert (report.cut, report.impaired) == (250, True)


def test_of_a_large_service_sixteen_gates_tell_their_thresholds():
    names = [f"n{n}" for n in range(100)]
    telling = 0
    for name in names:
        world = World(size=0)
        world.membership = Membership(world.clock, Random(1), record(name))
        world.membership.merge(record(other) for other in names)
        world.task._membership = world.membership
        world.task._regroup()
        telling += world.task._tells_threshold
    assert telling == 16


def test_what_others_tell_is_passed_on():
    world = World()
    other = GateReportTable(world.clock, "far@b")
    other.update_own("deep", 1.0, impaired=True)
    world.sent.on_reports(other.take_fresh())
    world.tick()
    assert "deep" in world.sent.news[0][0].reports


def test_a_gate_that_takes_no_work_says_nothing():
    world = World()
    world.gate.accepting, world.gate.own_threshold = False, 1.0
    world.tick(5)
    assert not world.sent.news
