"""Proofs that a configuration is the newest, through partitions and pauses."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.revision import ConfigurationLease


def test_late_reply_of_a_peer_is_dated_by_its_request():
    """Guards against a datagram that waited while the node stood still."""
    clock = ManualClock(100.0)
    lease = ConfigurationLease(clock)
    number = lease.start_request()
    clock.advance(8.0)
    assert lease.on_reply(number, 0.1)
    assert round(lease.age, 3) == 8.1


def test_reply_that_nobody_asked_for_proves_nothing():
    lease = ConfigurationLease(ManualClock(100.0))
    assert not lease.on_reply(7, 0.0)
    assert lease.age == float("inf")


def test_reply_counts_once():
    lease = ConfigurationLease(ManualClock(100.0))
    number = lease.start_request()
    assert lease.on_reply(number, 1.0)
    assert not lease.on_reply(number, 0.0)


def test_older_proof_does_not_replace_a_newer_one():
    clock = ManualClock(100.0)
    lease = ConfigurationLease(clock)
    lease.confirm(99.0)
    lease.confirm(95.0)
    assert lease.age == 1.0


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("store", "ask", "deliver", "pause", "change", "restart")),
        st.integers(0, 3),
        st.integers(0, 3),
        st.floats(0.0, 3.0),
    ),
    max_size=80,
)


@given(_EVENTS)
def test_proof_is_never_later_than_the_first_change_that_a_node_has_not_seen(events):
    """Four nodes, a store and datagrams that are late, lost or reordered.

    Whatever a node's proof says, no configuration that the node does not hold had
    been accepted by then.
    """
    clock = ManualClock(100.0)
    accepted = [clock.now()]
    held = [1] * 4
    leases = [ConfigurationLease(clock) for _ in range(4)]
    requests: list[tuple[int, int, int]] = []
    for kind, node, other, seconds in events:
        if kind == "store":
            asked_at = leases[node].now()
            held[node] = len(accepted)
            clock.advance(seconds)
            leases[node].confirm(asked_at)
        elif kind == "ask":
            requests.append((node, other, leases[node].start_request()))
        elif kind == "deliver" and requests:
            asker, peer, number = requests.pop(other % len(requests))
            version, age = held[peer], leases[peer].age
            clock.advance(seconds)
            if version <= held[asker]:
                leases[asker].on_reply(number, age)
        elif kind == "pause":
            clock.advance(seconds)
        elif kind == "change":
            clock.advance(0.001)
            accepted.append(clock.now())
        elif kind == "restart":
            held[node], leases[node] = 1, ConfigurationLease(clock)
        for version, lease in zip(held, leases, strict=True):
            if version < len(accepted):
                assert clock.now() - lease.age <= accepted[version] + 1e-6
