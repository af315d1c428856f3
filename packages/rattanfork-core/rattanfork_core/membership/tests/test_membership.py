"""Views converge; the dead are found, the living refute, the split heals."""

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
    """Views joined by a network that loses, cuts and stops at will."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.loss = loss
        self.stopped: set[int] = set()
        self.side: dict[int, int] = {}
        self.messages = 0
        self.views = [self.make(i) for i in range(count)]
        for view in self.views:
            view.merge(other.me for other in self.views)

    def make(self, i: int, boot: str = "b1") -> Membership:
        me = Member(f"w{i}", boot, "s", f"dc{i % 3}", "127.0.0.1", 1 + i, 1 + i, 8)
        return Membership(self.clock, Random(self.random.random()), me)

    def deliver(self, sender: int, sends) -> None:
        for send in sends:
            self.messages += 1
            target = send.address[1] - 1
            cut = self.side.get(sender, 0) != self.side.get(target, 0)
            if target in self.stopped or cut or self.random.random() < self.loss:
                continue
            message = decode_gossip(encode_gossip(send.message, KEY), KEY)
            source = self.views[sender].me.address
            self.deliver(target, self.views[target].on_message(message, source))

    def play(self, seconds: float) -> None:
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


def test_a_killed_member_is_found_dead_by_all():
    fleet = Fleet(12)
    fleet.play(3)
    fleet.stopped.add(4)
    fleet.play(60)
    assert fleet.statuses(4) == {MemberStatus.DEAD}
    assert all(fleet.statuses(i) == {MemberStatus.ALIVE} for i in (0, 1, 11))


def test_lost_datagrams_do_not_kill_the_living():
    fleet = Fleet(12, loss=0.1)
    fleet.play(120)
    assert all(MemberStatus.DEAD not in fleet.statuses(i) for i in range(12))


def test_leaving_is_known_everywhere_within_two_seconds():
    # Callers get refusals from an instance that drains: the news of leaving
    # has to be ahead of all other news.
    fleet = Fleet(30)
    fleet.play(5)
    fleet.deliver(7, fleet.views[7].leave())
    fleet.play(2)
    unaware = [
        v for v in fleet.views if v.members["w7@b1"].status != MemberStatus.LEAVING
    ]
    assert len(unaware) <= 1


def test_a_frozen_member_that_wakes_is_alive_again():
    fleet = Fleet(10)
    fleet.play(3)
    fleet.stopped.add(2)
    fleet.play(60)
    fleet.stopped.clear()
    fleet.play(120)
    assert fleet.statuses(2) == {MemberStatus.ALIVE}


def test_two_regions_that_lost_each_other_meet_again():
    # Each side declares the other dead.  Nobody probes the dead, so without
    # a safeguard the split would outlast its cause for ever.
    fleet = Fleet(12)
    fleet.play(3)
    fleet.side = dict.fromkeys(range(6), 1)
    fleet.play(90)
    assert MemberStatus.DEAD in fleet.statuses(0)
    fleet.side = {}
    fleet.play(200)
    assert all(fleet.statuses(i) == {MemberStatus.ALIVE} for i in range(12))


@pytest.mark.parametrize("count", [10, 40])
def test_messages_of_a_node_do_not_grow_with_the_fleet(count):
    fleet = Fleet(count)
    fleet.play(20)
    per_node_second = fleet.messages / count / 20
    assert per_node_second < 4


def test_datagrams_stay_below_the_usual_mtu():
    fleet = Fleet(3)
    view = fleet.views[0]
    view.merge(fleet.make(i, "f" * 12).me for i in range(50, 100))
    [send, *_] = view.tick()
    assert len(encode_gossip(send.message, KEY)) < 1400


def test_a_replaced_process_is_another_member():
    fleet = Fleet(4)
    fleet.play(2)
    fleet.views[3] = fleet.make(3, "b2")
    fleet.views[3].merge([fleet.views[0].me])
    fleet.play(60)
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
def test_any_order_of_rumours_gives_the_same_view(records, random):
    views = [Fleet(1).views[0] for _ in range(2)]
    views[0].merge(records)
    shuffled = list(records)
    random.shuffle(shuffled)
    views[1].merge(shuffled)
    assert views[0].members.get("w9@b") == views[1].members.get("w9@b")
    assert views[0].digest.values == views[1].digest.values


@given(st.binary(max_size=200))
def test_foreign_datagrams_are_refused(data):
    with pytest.raises(ValueError, match="stranger"):
        decode_gossip(data, KEY)


def test_rumours_are_told_a_bounded_number_of_times():
    queue = UpdateQueue()
    queue.add(Fleet(1).views[0].me, members=1000)
    told = 0
    while queue.take(6):
        told += 1
    assert told <= 31


def test_duty_moves_when_its_holder_goes():
    names = [f"n{i}" for i in range(20)]
    holders = [n for n in names if holds_role(n, names, "read", 2)]
    names.remove(holders[0])
    assert holders[1] in [n for n in names if holds_role(n, names, "read", 2)]


def test_one_of_two_finds_the_other_after_a_long_stop_without_any_help():
    """One of two nodes is away long enough to be declared dead.

    It starts again at its address and knows nobody, for the store is away.
    The other has no living member left to probe; if it probed nobody, the two
    would never meet and the restarted one would take no work.
    """
    fleet = Fleet(2)
    fleet.stopped.add(1)
    fleet.play(60)
    assert fleet.views[0].members["w1@b1"].status == MemberStatus.DEAD
    fleet.views[1] = fleet.make(1, "b2")
    fleet.stopped.clear()
    fleet.play(5)
    assert {m.instance for m in fleet.views[1].present()} == {"w0", "w1"}
    assert "w1@b2" in {m.name for m in fleet.views[0].present()}
