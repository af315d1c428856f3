"""Which members serve which service."""

from random import Random

from rattanfork_core.clock import Clock
from rattanfork_core.membership import Member, Membership, MemberStatus
from rattanfork_core.routing import InstancePicker, InstanceState


class InstanceDirectory:
    """The members by service, kept up to date with the membership view.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of the pickers' draws.
    membership : Membership
        The view.
    local_load : float
        Load up to which instances of the own data centre go first.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        membership: Membership,
        local_load: float = 0.0,
    ) -> None:
        self._clock = clock
        self._random = random
        self._membership = membership
        self._local_load = local_load
        self._version = -1
        self._pickers: dict[str, InstancePicker] = {}
        self._first_seen: dict[tuple[str, int], float] = {}

    def picker(self, service: str) -> InstancePicker | None:
        """Return the picker of a service, or None if nobody serves it."""
        if self._version != self._membership.version:
            self._rebuild()
        return self._pickers.get(service)

    def instance_count(self, service: str) -> int:
        """Return how many instances a service has."""
        picker = self.picker(service)
        return 0 if picker is None else len(picker.states)

    def member(self, name: str) -> Member | None:
        """Return a member by name."""
        return self._membership.members.get(name)

    def services(self) -> list[str]:
        """Return the services that have instances."""
        if self._version != self._membership.version:
            self._rebuild()
        return sorted(self._pickers)

    def _rebuild(self) -> None:
        fresh = self._version < 0
        self._version = self._membership.version
        now = self._clock.now()
        by_service: dict[str, list[InstanceState]] = {}
        seen: dict[tuple[str, int], float] = {}
        for member in self._membership.present():
            if not member.ready or member.slots < 1:
                continue
            # To a node that has just started all are new, and none is cold.
            incarnation = member.name, member.succession
            first = self._first_seen.get(incarnation, now - 3600 if fresh else now)
            seen[incarnation] = first
            state = InstanceState(
                member.name,
                member.data_centre,
                member.slots,
                first,
                leaving=member.status == MemberStatus.LEAVING,
                suspect=member.status == MemberStatus.SUSPECT,
            )
            by_service.setdefault(member.service, []).append(state)
        self._first_seen = seen
        for service in list(self._pickers):
            if service not in by_service:
                del self._pickers[service]
        for service, states in by_service.items():
            picker = self._pickers.get(service)
            if picker is None:
                me = self._membership.me
                picker = InstancePicker(
                    me.name,
                    me.data_centre,
                    self._clock,
                    self._random,
                    local_load_limit=self._local_load,
                )
                self._pickers[service] = picker
            picker.update(states)
