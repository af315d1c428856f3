"""Index of the live instances of each service, for request routing."""

from random import Random

from rattanfork_core.clock import Clock
from rattanfork_core.membership import Member, Membership, MemberStatus
from rattanfork_core.routing import InstancePicker, InstanceState


class InstanceDirectory:
    """Instances by service, rebuilt when the membership view changes.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of the random choices of pickers.
    membership : Membership
        Membership view of this node.
    local_load : float
        Load below which instances of the local data centre are picked without a
        comparison with those of others; 0 always compares all.
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
        self._membership_version = -1
        self._pickers: dict[str, InstancePicker] = {}
        #: Instances by service, those that are not ready included.
        self._recorded: dict[str, set[str]] = {}
        self._known_since: dict[tuple[str, int], float] = {}

    def picker(self, service: str) -> InstancePicker | None:
        """Return the picker of a service, or None if it has no instances."""
        if self._membership_version != self._membership.version:
            self._rebuild_pickers()
        return self._pickers.get(service)

    def instance_count(self, service: str) -> int:
        """Return the number of instances of a service."""
        picker = self.picker(service)
        return 0 if picker is None else len(picker.states)

    def recorded_count(self, service: str) -> int:
        """Return the number of instances of a service, ready or not."""
        if self._membership_version != self._membership.version:
            self._rebuild_pickers()
        return len(self._recorded.get(service, ()))

    def member(self, name: str) -> Member | None:
        """Return a member by name."""
        return self._membership.members.get(name)

    def services(self) -> list[str]:
        """Return the services that have instances."""
        if self._membership_version != self._membership.version:
            self._rebuild_pickers()
        return sorted(self._pickers)

    def _rebuild_pickers(self) -> None:
        first_build = self._membership_version < 0
        self._membership_version = self._membership.version
        now = self._clock.now()
        by_service: dict[str, list[InstanceState]] = {}
        known_since: dict[tuple[str, int], float] = {}
        self._recorded = {}
        for member in self._membership.present():
            self._recorded.setdefault(member.service, set()).add(member.instance)
            if not member.ready or member.slots < 1:
                continue
            # A node that has just started sees every instance for the first time; it
            # assumes that they have long been running, so that none counts as cold.
            upstream_process = member.name, member.succession
            since = self._known_since.get(
                upstream_process, now - 3600 if first_build else now
            )
            known_since[upstream_process] = since
            state = InstanceState(
                member.name,
                member.data_centre,
                member.slots,
                since,
                leaving=member.status == MemberStatus.LEAVING,
                suspect=member.status == MemberStatus.SUSPECT,
            )
            by_service.setdefault(member.service, []).append(state)
        self._known_since = known_since
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
