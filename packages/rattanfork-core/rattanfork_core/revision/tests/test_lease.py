"""Ages of confirmations, with partitions, late datagrams and suspended nodes."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.revision import ConfigurationLease


def test_late_reply_of_a_peer_counts_from_its_request():
    """Guards against a reply that waited in the socket while the node was suspended."""
    clock = ManualClock(100.0)
    lease = ConfigurationLease(clock)
    number = lease.start_request()
    clock.advance(8.0)
    assert lease.on_reply(number, 0.1)
    assert round(lease.age, 3) == 8.1


def test_unsolicited_reply_is_ignored():
    lease = ConfigurationLease(ManualClock(100.0))
    assert not lease.on_reply(7, 0.0)
    assert lease.age == float("inf")


def test_second_reply_to_a_request_is_ignored():
    lease = ConfigurationLease(ManualClock(100.0))
    number = lease.start_request()
    assert lease.on_reply(number, 1.0)
    assert not lease.on_reply(number, 0.0)


def test_older_confirmation_does_not_replace_a_newer_one():
    clock = ManualClock(100.0)
    lease = ConfigurationLease(clock)
    lease.confirm(99.0)
    lease.confirm(95.0)
    assert lease.age == 1.0


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("store", "request", "deliver", "pause", "change", "restart")),
        st.integers(0, 3),
        st.integers(0, 3),
        st.floats(0.0, 3.0),
    ),
    max_size=80,
)


@given(_EVENTS)
def test_confirmation_is_never_newer_than_a_change_that_the_node_lacks(events):
    """Four nodes and a store, with datagrams that are late, lost or reordered.

    At the time of a node's confirmation, no configuration that the node lacks had
    been accepted.
    """
    clock = ManualClock(100.0)
    accepted = [clock.now()]
    versions = [1] * 4
    leases = [ConfigurationLease(clock) for _ in range(4)]
    requests: list[tuple[int, int, int]] = []
    for kind, node, other, seconds in events:
        if kind == "store":
            requested_at = leases[node].now()
            versions[node] = len(accepted)
            clock.advance(seconds)
            leases[node].confirm(requested_at)
        elif kind == "request":
            requests.append((node, other, leases[node].start_request()))
        elif kind == "deliver" and requests:
            requester, peer, number = requests.pop(other % len(requests))
            version, age = versions[peer], leases[peer].age
            clock.advance(seconds)
            if version <= versions[requester]:
                leases[requester].on_reply(number, age)
        elif kind == "pause":
            clock.advance(seconds)
        elif kind == "change":
            clock.advance(0.001)
            accepted.append(clock.now())
        elif kind == "restart":
            versions[node], leases[node] = 1, ConfigurationLease(clock)
        for version, lease in zip(versions, leases, strict=True):
            if version < len(accepted):
                assert clock.now() - lease.age <= accepted[version] + 1e-6
