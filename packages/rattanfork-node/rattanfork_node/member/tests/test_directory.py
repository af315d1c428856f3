"""What a node knows of instances belongs to their upstream's incarnation."""

from random import Random

from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import Member, Membership
from rattanfork_node.member.directory import InstanceDirectory


def record(name: str, **changes: object) -> Member:
    return Member(name, "b", "s", "dc1", "127.0.0.1", 1, 1, 8).replace(**changes)


def test_a_successor_beside_the_same_node_is_known_anew():
    """An upstream starts again while its node stays the same member.

    It is cold, and may be faster or slower than it was: the latency and the
    failures of the one before say nothing of it.
    """
    clock = ManualClock(100.0)
    membership = Membership(clock, Random(1), record("me"))
    directory = InstanceDirectory(clock, Random(1), membership)
    membership.merge([record("other")])
    state = directory.picker("s").states["other@b"]
    state.latency, state.failure_rate = 0.5, 0.9
    membership.merge([record("other", incarnation=1, slots=9)])
    state = directory.picker("s").states["other@b"]
    assert (state.latency, state.slots) == (0.5, 9)
    clock.advance(5.0)
    membership.merge([record("other", incarnation=2, succession=1)])
    state = directory.picker("s").states["other@b"]
    assert (state.latency, state.failure_rate, state.known_since) == (0.0, 0.0, 105.0)
