"""Tests of the gossip of gate reports."""

from random import Random
from types import SimpleNamespace

from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import GateReportTable
from rattanfork_core.membership import GateUpdate, Member, Membership
from rattanfork_node.member.gate_report_task import GateReportTask


class RecordingGossipTask:
    """Records sent updates."""

    def __init__(self) -> None:
        self.sent: list[tuple[GateUpdate, int]] = []
        self.on_gate_reports = None

    def send_to_random(self, update: GateUpdate, count: int) -> None:
        self.sent.append((update, count))


class Harness:
    """Node with a gate whose state the test sets."""

    def __init__(self, size: int = 3) -> None:
        self.clock = ManualClock(100.0)
        me = record("n0")
        self.membership = Membership(self.clock, Random(1), me)
        self.membership.merge(record(f"n{n}") for n in range(1, size))
        self.reports = GateReportTable(self.clock, me.name)
        self.gossip_task = RecordingGossipTask()
        self.gate = SimpleNamespace(
            accepting=True, own_threshold=5.0, health=SimpleNamespace(impaired=False)
        )
        self.task = GateReportTask(
            self.reports, self.membership, self.gossip_task, self.gate
        )

    def tick(self, count: int = 1) -> None:
        for _ in range(count):
            self.clock.advance(0.1)
            self.task.tick()


def record(name: str) -> Member:
    return Member(name, "b", "s", "dc1", "127.0.0.1", 1, 1, 8)


def test_nothing_is_sent_without_overload():
    harness = Harness()
    harness.tick(100)
    assert not harness.gossip_task.sent


def test_shedding_gate_reports_until_it_is_open_again():
    harness = Harness()
    harness.gate.own_threshold = 2.0
    harness.tick(5)
    assert len(harness.gossip_task.sent) == 5
    [report] = harness.gossip_task.sent[-1][0].reports["s"]
    assert (report.cut, report.impaired) == (100, False)
    harness.gate.own_threshold = 5.0
    harness.tick(60)
    sent_count = len(harness.gossip_task.sent)
    assert harness.gossip_task.sent[-1][0].reports["s"][0].cut == 250
    harness.tick(20)
    assert len(harness.gossip_task.sent) == sent_count


def test_impaired_upstream_is_reported_by_any_gate():
    """Of 100 gates 16 report thresholds, but every one reports an impaired upstream."""
    harness = Harness(size=100)
    harness.task._reports_threshold = False
    harness.task._membership_version = harness.membership.version
    harness.gate.own_threshold, harness.gate.health.impaired = 2.0, True
    harness.tick(5)
    [report] = harness.gossip_task.sent[-1][0].reports["s"]
    assert (report.cut, report.impaired) == (250, True)


def test_sixteen_gates_of_a_large_service_report_thresholds():
    names = [f"n{n}" for n in range(100)]
    reporter_count = 0
    for name in names:
        harness = Harness(size=0)
        harness.membership = Membership(harness.clock, Random(1), record(name))
        harness.membership.merge(record(other) for other in names)
        harness.task._membership = harness.membership
        harness.task._update_reporters()
        reporter_count += harness.task._reports_threshold
    assert reporter_count == 16


def test_reports_of_other_gates_are_forwarded():
    harness = Harness()
    other = GateReportTable(harness.clock, "far@b")
    other.update_own("deep", 1.0, impaired=True)
    harness.gossip_task.on_gate_reports(other.take_fresh())
    harness.tick()
    assert "deep" in harness.gossip_task.sent[0][0].reports


def test_gate_that_does_not_accept_requests_sends_no_report():
    harness = Harness()
    harness.gate.accepting, harness.gate.own_threshold = False, 1.0
    harness.tick(5)
    assert not harness.gossip_task.sent
