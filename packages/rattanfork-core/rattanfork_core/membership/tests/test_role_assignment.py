"""Few nodes do a duty, however large the fleet, and others take over."""

from random import Random

from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import Member, Membership, MemberStatus, RoleAssignment


def fleet(size: int, centres: int = 5) -> list[Member]:
    return [
        Member(f"n{i}", "b", "s", f"dc{i % centres}", "127.0.0.1", 1, 2, 8)
        for i in range(size)
    ]


def roster_of(
    members: list[Member], place: int = 0
) -> tuple[RoleAssignment, Membership]:
    view = Membership(ManualClock(), Random(1), members[place])
    view.merge(members)
    return RoleAssignment(view, "read", 4), view


def test_the_number_of_readers_depends_on_the_data_centres_only():
    for size in (194, 1000):
        roster, _ = roster_of(fleet(size))
        assert len(roster.names) == 20
        assert roster.fleet_size == size


def test_in_a_small_fleet_all_are_readers():
    roster, _ = roster_of(fleet(12, centres=3))
    assert len(roster.names) == 12
    assert roster.includes_self


def test_all_views_name_the_same_readers():
    members = fleet(60)
    rosters = [roster_of(members, place)[0] for place in range(60)]
    assert len({tuple(sorted(roster.names)) for roster in rosters}) == 1
    assert sum(roster.includes_self for roster in rosters) == 20


def test_others_take_over_from_readers_that_are_gone():
    """All readers of a data centre are killed at the same moment."""
    members = fleet(100)
    roster, view = roster_of(members)
    gone = [name for name in roster.names if view.members[name].data_centre == "dc1"]
    view.merge(view.members[name].replace(status=MemberStatus.DEAD) for name in gone)
    assert len(roster.names) == 20
    assert not set(gone) & set(roster.names)


def test_a_node_that_sees_nobody_reads_for_itself():
    roster, _ = roster_of(fleet(1))
    assert roster.includes_self
