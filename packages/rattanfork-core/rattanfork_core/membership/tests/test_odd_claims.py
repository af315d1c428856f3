"""Views beside claims about members that no member has made."""

import pytest
from rattanfork_core.membership import Member, MemberStatus
from rattanfork_core.membership.membership import MAX_CLAIMED_INCARNATION
from rattanfork_core.membership.tests.test_membership import Fleet

#: Largest value of a number in a record.
_MAX_NUMBER = 2**62 - 1
_INCARNATIONS = (
    2**32,
    2**61 - 1,
    2**61,
    2**61 + 1,
    _MAX_NUMBER - 1,
    _MAX_NUMBER,
)


def slots_known(fleet: Fleet, i: int) -> set[int]:
    """Return what the nodes know of the slots of a member."""
    name = fleet.views[i].me.name
    return {view.members[name].slots for view in fleet.views if name in view.members}


@pytest.mark.parametrize("status", list(MemberStatus))
@pytest.mark.parametrize("incarnation", _INCARNATIONS)
def test_claim_about_a_member_costs_it_nothing(incarnation, status):
    """Guards against a member that others refuse or forget for good.

    It raises its incarnation above what is claimed, which is the largest that
    others accept.
    """
    fleet = Fleet(6)
    fleet.run(3)
    me = fleet.views[2].me
    fleet.views[0].merge([me.replace(incarnation=incarnation, status=status)])
    fleet.run(30)
    assert fleet.statuses(2) == {MemberStatus.ALIVE}
    assert all(fleet.statuses(i) == {MemberStatus.ALIVE} for i in range(6))
    fleet.views[2].update_me(slots=9)
    fleet.run(30)
    assert slots_known(fleet, 2) == {9}


@pytest.mark.parametrize("incarnation", _INCARNATIONS)
def test_claims_about_all_members_cost_no_member(incarnation):
    """Guards against a fleet of which every node forgets all others."""
    fleet = Fleet(6)
    fleet.run(3)
    for i, view in enumerate(fleet.views):
        other = fleet.views[i - 1]
        other.merge([view.me.replace(incarnation=incarnation)])
    fleet.run(30)
    for view in fleet.views:
        view.update_me(slots=9)
    fleet.run(30)
    for i in range(6):
        assert fleet.statuses(i) == {MemberStatus.ALIVE}
        assert slots_known(fleet, i) == {9}


@pytest.mark.parametrize("incarnation", _INCARNATIONS)
def test_member_is_detected_as_dead_after_a_claim_about_it(incarnation):
    """Guards against members that no suspicion can reach after an odd claim."""
    fleet = Fleet(6)
    fleet.run(3)
    me = fleet.views[2].me
    fleet.views[0].merge([me.replace(incarnation=incarnation)])
    fleet.run(30)
    fleet.stopped.add(2)
    fleet.run(60)
    assert fleet.statuses(2) == {MemberStatus.DEAD}
    fleet.stopped.clear()
    fleet.run(120)
    assert fleet.statuses(2) == {MemberStatus.ALIVE}


@pytest.mark.parametrize("incarnation", _INCARNATIONS)
def test_node_that_starts_after_a_claim_learns_of_the_member(incarnation):
    """Guards against a claim that is remembered by the fleet and bars newcomers."""
    fleet = Fleet(6)
    fleet.run(3)
    me = fleet.views[2].me
    fleet.views[0].merge([me.replace(incarnation=incarnation)])
    fleet.run(30)
    fleet.views[5] = fleet.make_view(5, "b2")
    # The rows of the store name the addresses.
    fleet.views[5].merge(view.me.replace(incarnation=0) for view in fleet.views[:5])
    fleet.deliver(5, fleet.views[5].announce_self())
    fleet.run(30)
    fleet.views[2].update_me(slots=9)
    fleet.run(30)
    assert slots_known(fleet, 2) == {9}
    assert fleet.statuses(2) == {MemberStatus.ALIVE}


def test_node_that_believes_a_claim_spoils_no_other(monkeypatch):
    """Guards against nodes of an earlier build that pass on what they have read."""
    fleet = Fleet(6)
    monkeypatch.setattr(fleet.views[0], "_is_plausible", lambda member: True)
    fleet.run(3)
    claim = fleet.views[2].me.replace(incarnation=_MAX_NUMBER)
    fleet.views[0].merge([claim])
    fleet.run(30)
    fleet.views[2].update_me(slots=9)
    fleet.run(30)
    known = [view.members[claim.name] for view in fleet.views[1:]]
    assert {(m.slots, m.status) for m in known} == {(9, MemberStatus.ALIVE)}


def test_member_of_a_later_boot_that_does_not_run_is_declared_dead():
    """Guards against a row of a later run that hides the running one for good."""
    fleet = Fleet(6)
    fleet.run(3)
    phantom = fleet.views[2].me.replace(boot="z9", incarnation=_MAX_NUMBER)
    fleet.views[0].merge([phantom.replace(incarnation=0), phantom])
    fleet.run(60)
    assert fleet.statuses(2) == {MemberStatus.ALIVE}
    for view in fleet.views:
        known = view.members.get(phantom.name)
        assert known is None or known.status == MemberStatus.DEAD


def test_refused_claim_is_reported_with_its_record():
    """Guards against claims that are refused without a trace."""
    view = Fleet(1).views[0]
    refused: list[Member] = []
    view.on_refused = refused.append
    claim = view.me.replace(incarnation=MAX_CLAIMED_INCARNATION * 2 - 1)
    view.merge([claim])
    assert refused == [claim]
    assert view.me.incarnation < MAX_CLAIMED_INCARNATION


def test_refuting_member_keeps_its_record():
    """Guards against a member that takes over what another states about it."""
    view = Fleet(1).views[0]
    me = view.me
    view.merge([me.replace(incarnation=7, succession=_MAX_NUMBER, slots=1)])
    assert view.me == me.replace(incarnation=8)
