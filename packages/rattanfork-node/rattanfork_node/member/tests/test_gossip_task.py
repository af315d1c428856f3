"""Versions that other nodes report."""

from random import Random

from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import CachedVersions, Membership, Ping, encode_gossip
from rattanfork_node.config.tests.fakes import member
from rattanfork_node.member import GossipTask
from rattanfork_node.telemetry import Counters

_KEY = b"key"


def make_task(clock: ManualClock) -> GossipTask:
    membership = Membership(clock, Random(1), member("n1"))
    return GossipTask(clock, Random(1), membership, None, _KEY, [], Counters())


def report(task: GossipTask, configuration: int, rules: int) -> None:
    """Let a node report the versions that it holds."""
    versions = CachedVersions(configuration, rules)
    ping = Ping(1, member("n2"), "n1", versions, ())
    task.datagram_received(encode_gossip(ping, _KEY), ("127.0.0.1", 1))


def test_report_of_a_version_that_nobody_holds_is_forgotten():
    """Guards against nodes that count as outdated for good and poll the store."""
    clock = ManualClock()
    task = make_task(clock)
    report(task, 2**63, 2**63)
    for _ in range(32):
        clock.advance(1.0)
        report(task, 7, 3)
    assert (task.newest_configuration, task.newest_rules) == (7, 3)


def test_version_counts_as_the_newest_while_one_node_reports_it():
    clock = ManualClock()
    task = make_task(clock)
    for _ in range(100):
        clock.advance(1.0)
        report(task, 8, 4)
        report(task, 7, 3)
        assert (task.newest_configuration, task.newest_rules) == (8, 4)
    task.observe_configuration(9)
    assert task.newest_configuration == 9
