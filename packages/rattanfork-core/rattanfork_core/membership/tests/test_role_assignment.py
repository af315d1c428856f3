"""Number of role holders in fleets of several sizes, and their replacement."""

from random import Random

from rattanfork_core.clock import ManualClock
from rattanfork_core.membership import Member, Membership, MemberStatus, RoleAssignment


def members_of(size: int, centres: int = 5) -> list[Member]:
    return [
        Member(f"n{i}", "b", "s", f"dc{i % centres}", "127.0.0.1", 1, 2, 8)
        for i in range(size)
    ]


def assignment_of(
    members: list[Member], position: int = 0
) -> tuple[RoleAssignment, Membership]:
    view = Membership(ManualClock(), Random(1), members[position])
    view.merge(members)
    return RoleAssignment(view, "read", 4), view


def test_number_of_holders_depends_on_the_data_centres_only():
    for size in (194, 1000):
        assignment, _ = assignment_of(members_of(size))
        assert len(assignment.names) == 20
        assert assignment.fleet_size == size


def test_all_nodes_of_a_small_fleet_are_holders():
    assignment, _ = assignment_of(members_of(12, centres=3))
    assert len(assignment.names) == 12
    assert assignment.includes_self


def test_equal_views_assign_the_same_holders():
    members = members_of(60)
    assignments = [assignment_of(members, position)[0] for position in range(60)]
    assert len({tuple(sorted(assignment.names)) for assignment in assignments}) == 1
    assert sum(assignment.includes_self for assignment in assignments) == 20


def test_dead_holders_are_replaced():
    """All holders of one data centre are killed at the same moment."""
    members = members_of(100)
    assignment, view = assignment_of(members)
    dead = [
        name for name in assignment.names if view.members[name].data_centre == "dc1"
    ]
    view.merge(view.members[name].replace(status=MemberStatus.DEAD) for name in dead)
    assert len(assignment.names) == 20
    assert not set(dead) & set(assignment.names)


def test_node_that_knows_no_other_is_a_holder():
    assignment, _ = assignment_of(members_of(1))
    assert assignment.includes_self
