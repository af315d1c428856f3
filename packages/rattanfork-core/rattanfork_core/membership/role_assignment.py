"""The few nodes of each data centre that do a duty."""

from rattanfork_core.membership.membership import Membership
from rattanfork_core.membership.roles import role_holders


class RoleAssignment:
    """Who does a duty, by this node's own view of the members.

    Parameters
    ==========

    membership : Membership
        The view.
    role : str
        Name of the duty; others fall to other nodes.
    per_data_centre : int
        Nodes of each data centre that do it.

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
        self._duty = role
        self._per_centre = per_data_centre
        self._version = -1
        self._names: list[str] = []
        self._fleet = 0

    @property
    def version(self) -> int:
        """Version of the view that the roster was made from."""
        self._look()
        return self._version

    @property
    def names(self) -> list[str]:
        """All that do the duty."""
        self._look()
        return self._names

    @property
    def others(self) -> list[str]:
        """All other nodes that do the duty."""
        me = self._membership.me.name
        return [name for name in self.names if name != me]

    @property
    def includes_self(self) -> bool:
        """Whether this node does it."""
        return self._membership.me.name in self.names

    @property
    def fleet_size(self) -> int:
        """How many nodes there are."""
        self._look()
        return self._fleet

    def _look(self) -> None:
        if self._version == self._membership.version:
            return
        self._version = self._membership.version
        centres: dict[str, list[str]] = {}
        for member in self._membership.present():
            centres.setdefault(member.data_centre, []).append(member.name)
        self._fleet = sum(len(names) for names in centres.values())
        groups = (
            role_holders(names, self._duty, self._per_centre)
            for names in centres.values()
        )
        self._names = [name for group in groups for name in group]
