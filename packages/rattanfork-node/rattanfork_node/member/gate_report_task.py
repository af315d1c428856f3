"""Tells the fleet how this node's gate fares, and passes on what others tell."""

from rattanfork_core.gate_status import MAX_REPORTERS, GateReportTable
from rattanfork_core.membership import GateUpdate, Member, Membership, role_holders

from rattanfork_node.member.gossip_task import GossipTask
from rattanfork_node.relay.gate import Gate
from rattanfork_node.telemetry import log_change

#: Members that are told at each tick: one alone would leave a fleet of hundreds
#: without news for most of a second.
_TOLD = 2


class GateReportTask:
    """Carries the reports of gates over datagrams.

    Parameters
    ==========

    reports : GateReportTable
        What is known.
    membership : Membership
        Who is there.
    member_task : GossipTask
        Sends datagrams, and hears them.
    gate : Gate
        This node's gate.
    """

    def __init__(
        self,
        reports: GateReportTable,
        membership: Membership,
        member_task: GossipTask,
        gate: Gate,
    ) -> None:
        self._reports = reports
        self._membership = membership
        self._member_task = member_task
        self._gate = gate
        self._view = -1
        self._tells_threshold = False
        self._impaired = False
        member_task.on_reports = reports.merge

    def tick(self) -> None:
        """Report on the own gate and pass news on; call ten times a second."""
        if self._membership.version != self._view:
            self._regroup()
        if self._gate.accepting:
            self._report()
        told = self._reports.take_fresh()
        if told:
            self._member_task.pass_on(GateUpdate(told), _TOLD)

    def _report(self) -> None:
        gate = self._gate
        impaired = gate.health.impaired
        if impaired != self._impaired:
            self._impaired = impaired
            log_change("upstream_impaired" if impaired else "upstream_sound")
        cut = gate.own_threshold if self._tells_threshold else None
        self._reports.update_own(self._membership.me.service, cut, impaired)

    def _regroup(self) -> None:
        self._view = self._membership.version
        me = self._membership.me
        names = [m.name for m in self._membership.present() if _serves(m, me.service)]
        reporters = role_holders(names, "thresholds", MAX_REPORTERS)
        self._tells_threshold = me.name in reporters


def _serves(member: Member, service: str) -> bool:
    return member.service == service and member.ready and member.slots > 0
