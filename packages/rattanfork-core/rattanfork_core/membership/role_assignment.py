"""The nodes of each data centre that hold a role."""

from rattanfork_core.membership.membership import Membership
from rattanfork_core.membership.roles import role_holders


class RoleAssignment:
    """Holders of a role, computed from this node's membership view.

    Explanation
    ===========

    Tasks such as reading the store need only a few nodes, so that the load on the
    store does not grow with the fleet.  The holders are chosen in each data centre,
    so that one that is partitioned off still has some.  They are computed anew
    whenever the view changes, so dead holders are replaced.

    Parameters
    ==========

    membership : Membership
        The view.
    role : str
        Name of the role; different roles are assigned independently.
    per_data_centre : int
        Number of holders in each data centre.

    Examples
    ========

    >>> from random import Random
    >>> from rattanfork_core.clock import ManualClock
    >>> from rattanfork_core.membership import Member
    >>> me = Member("n0", "b", "s", "dc", "127.0.0.1", 1, 2, 8)
    >>> view = Membership(ManualClock(), Random(1), me)
    >>> view.merge([me.replace(instance=f"n{i}") for i in range(1, 9)])
    >>> readers = RoleAssignment(view, "read", 2)
    >>> len(readers.names), readers.fleet_size
    (2, 9)
    >>> readers.includes_self == (me.name in readers.names)
    True
    """

    def __init__(self, membership: Membership, role: str, per_data_centre: int) -> None:
        self._membership = membership
        self._role = role
        self._per_data_centre = per_data_centre
        self._version = -1
        self._names: list[str] = []
        self._fleet_size = 0

    @property
    def version(self) -> int:
        """Version of the view from which the assignment was computed."""
        self._refresh()
        return self._version

    @property
    def names(self) -> list[str]:
        """Names of all holders."""
        self._refresh()
        return self._names

    @property
    def others(self) -> list[str]:
        """Names of all holders except this node."""
        me = self._membership.me.name
        return [name for name in self.names if name != me]

    @property
    def includes_self(self) -> bool:
        """Whether this node is a holder."""
        return self._membership.me.name in self.names

    @property
    def fleet_size(self) -> int:
        """Number of nodes in the view that are not dead."""
        self._refresh()
        return self._fleet_size

    def _refresh(self) -> None:
        if self._version == self._membership.version:
            return
        self._version = self._membership.version
        names_by_centre: dict[str, list[str]] = {}
        for member in self._membership.present():
            names_by_centre.setdefault(member.data_centre, []).append(member.name)
        self._fleet_size = sum(len(names) for names in names_by_centre.values())
        groups = (
            role_holders(names, self._role, self._per_data_centre)
            for names in names_by_centre.values()
        )
        self._names = [name for group in groups for name in group]
