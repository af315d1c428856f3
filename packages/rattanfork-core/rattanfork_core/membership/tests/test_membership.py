"""Convergence of membership views through crashes, losses and partitions."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import (
    Member,
    Membership,
    MemberStatus,
    UpdateQueue,
    decode_gossip,
    encode_gossip,
    holds_role,
)

KEY = b"key"


class Fleet:
    """Views on a simulated network with losses, partitions and stopped nodes."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.loss = loss
        self.stopped: set[int] = set()
        self.partition: dict[int, int] = {}
        self.messages = 0
        self.views = [self.make_view(i) for i in range(count)]
        for view in self.views:
            view.merge(other.me for other in self.views)

    def make_view(self, i: int, boot: str = "b1") -> Membership:
        me = Member(f"w{i}", boot, "s", f"dc{i % 3}", "127.0.0.1", 1 + i, 1 + i, 8)
        return Membership(self.clock, Random(self.random.random()), me)

    def deliver(self, sender: int, sends) -> None:
        for send in sends:
            self.messages += 1
            target = send.address[1] - 1
            is_cut = self.partition.get(sender, 0) != self.partition.get(target, 0)
            if target in self.stopped or is_cut or self.random.random() < self.loss:
                continue
            message = decode_gossip(encode_gossip(send.message, KEY), KEY)
            source = self.views[sender].me.address
            self.deliver(target, self.views[target].on_message(message, source))

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 5)):
            self.clock.advance(0.2)
            for i, view in enumerate(self.views):
                if i not in self.stopped:
                    self.deliver(i, view.tick())

    def statuses(self, i: int) -> set[int]:
        name = self.views[i].me.name
        return {
            view.members[name].status
            for j, view in enumerate(self.views)
            if j not in self.stopped and name in view.members
        }


def test_killed_member_is_declared_dead_by_all():
    fleet = Fleet(12)
    fleet.run(3)
    fleet.stopped.add(4)
    fleet.run(60)
    assert fleet.statuses(4) == {MemberStatus.DEAD}
    assert all(fleet.statuses(i) == {MemberStatus.ALIVE} for i in (0, 1, 11))


def test_lost_datagrams_declare_no_live_member_dead():
    fleet = Fleet(12, loss=0.1)
    fleet.run(120)
    assert all(MemberStatus.DEAD not in fleet.statuses(i) for i in range(12))


def test_leaving_member_is_known_to_all_but_one_within_two_seconds():
    # A draining instance refuses requests that are still forwarded to it, so the
    # update has to spread ahead of all others.
    fleet = Fleet(30)
    fleet.run(5)
    fleet.deliver(7, fleet.views[7].leave())
    fleet.run(2)
    unaware = [
        v for v in fleet.views if v.members["w7@b1"].status != MemberStatus.LEAVING
    ]
    assert len(unaware) <= 1


def test_suspended_member_is_alive_again_after_it_resumes():
    fleet = Fleet(10)
    fleet.run(3)
    fleet.stopped.add(2)
    fleet.run(60)
    fleet.stopped.clear()
    fleet.run(120)
    assert fleet.statuses(2) == {MemberStatus.ALIVE}


def test_views_converge_after_a_long_partition_heals():
    # Guards against a partition that outlasts its cause: each side declares the
    # other dead, and plain SWIM never probes dead members again.
    fleet = Fleet(12)
    fleet.run(3)
    fleet.partition = dict.fromkeys(range(6), 1)
    fleet.run(90)
    assert MemberStatus.DEAD in fleet.statuses(0)
    fleet.partition = {}
    fleet.run(200)
    assert all(fleet.statuses(i) == {MemberStatus.ALIVE} for i in range(12))


@pytest.mark.parametrize("count", [10, 40])
def test_message_rate_of_a_node_does_not_grow_with_the_fleet(count):
    fleet = Fleet(count)
    fleet.run(20)
    per_node_second = fleet.messages / count / 20
    assert per_node_second < 4


def test_datagram_with_many_updates_stays_below_the_ethernet_mtu():
    fleet = Fleet(3)
    view = fleet.views[0]
    view.merge(fleet.make_view(i, "f" * 12).me for i in range(50, 100))
    [send, *_] = view.tick()
    assert len(encode_gossip(send.message, KEY)) < 1400


def test_replaced_process_is_declared_dead_and_its_successor_alive():
    fleet = Fleet(4)
    fleet.run(2)
    fleet.views[3] = fleet.make_view(3, "b2")
    fleet.views[3].merge([fleet.views[0].me])
    fleet.run(60)
    view = fleet.views[0].members
    assert view["w3@b1"].status == MemberStatus.DEAD
    assert view["w3@b2"].status == MemberStatus.ALIVE


RECORDS = st.builds(
    lambda inc, status: Member(
        "w9", "b", "s", "dc", "127.0.0.1", 9, 9, 8, True, inc, status
    ),
    st.integers(0, 3),
    st.sampled_from(list(MemberStatus)),
)


@given(st.lists(RECORDS, max_size=8), st.randoms(use_true_random=False))
def test_order_of_updates_does_not_change_the_view(records, random):
    views = [Fleet(1).views[0] for _ in range(2)]
    views[0].merge(records)
    shuffled = list(records)
    random.shuffle(shuffled)
    views[1].merge(shuffled)
    assert views[0].members.get("w9@b") == views[1].members.get("w9@b")
    assert views[0].digest.values == views[1].digest.values


@given(st.binary(max_size=200))
def test_datagram_without_a_valid_hmac_is_rejected(data):
    with pytest.raises(ValueError, match="datagram authentication failed"):
        decode_gossip(data, KEY)


def test_update_is_sent_a_bounded_number_of_times():
    queue = UpdateQueue()
    queue.add(Fleet(1).views[0].me, members=1000)
    transmissions = 0
    while queue.take(6):
        transmissions += 1
    assert transmissions <= 31


def test_other_holders_keep_their_role_when_one_is_gone():
    names = [f"n{i}" for i in range(20)]
    holders = [n for n in names if holds_role(n, names, "read", 2)]
    names.remove(holders[0])
    assert holders[1] in [n for n in names if holds_role(n, names, "read", 2)]


def test_restarted_node_of_two_is_found_without_the_store():
    """Guards against a restarted node that stays isolated and gets no requests.

    It was declared dead, and without the store it knows no address when it restarts.
    The other has no live member left, so it has to probe the dead one's address.
    """
    fleet = Fleet(2)
    fleet.stopped.add(1)
    fleet.run(60)
    assert fleet.views[0].members["w1@b1"].status == MemberStatus.DEAD
    fleet.views[1] = fleet.make_view(1, "b2")
    fleet.stopped.clear()
    fleet.run(5)
    assert {m.instance for m in fleet.views[1].present()} == {"w0", "w1"}
    assert "w1@b2" in {m.name for m in fleet.views[0].present()}
