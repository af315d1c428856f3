"""Gossip of admission thresholds and impaired upstreams."""

from rattanfork_core.gate_status import MAX_REPORTERS, GateReportTable
from rattanfork_core.membership import GateUpdate, Member, Membership, role_holders

from rattanfork_node.member.gossip_task import GossipTask
from rattanfork_node.relay.gate import Gate
from rattanfork_node.telemetry import log_change

#: Members to which reports are sent at each tick.  With one, reports took most of a
#: second to reach a fleet of hundreds.
_FANOUT = 2


class GateReportTask:
    """Reports the state of the local gate and forwards reports of other gates.

    A gate is the admission controller of one upstream instance.

    Parameters
    ==========

    reports : GateReportTable
        Reports known to this node.
    membership : Membership
        Membership view of this node.
    gossip_task : GossipTask
        Sends and receives gossip messages.
    gate : Gate
        Gate of the local upstream.
    """

    def __init__(
        self,
        reports: GateReportTable,
        membership: Membership,
        gossip_task: GossipTask,
        gate: Gate,
    ) -> None:
        self._reports = reports
        self._membership = membership
        self._gossip_task = gossip_task
        self._gate = gate
        self._membership_version = -1
        self._reports_threshold = False
        self._impaired = False
        gossip_task.on_gate_reports = reports.merge

    def tick(self) -> None:
        """Report the local gate and send due reports; call ten times a second."""
        if self._membership.version != self._membership_version:
            self._update_reporters()
        if self._gate.accepting:
            self._report_own_gate()
        reports = self._reports.take_fresh()
        if reports:
            self._gossip_task.send_to_random(GateUpdate(reports), _FANOUT)

    def _report_own_gate(self) -> None:
        gate = self._gate
        impaired = gate.health.impaired
        if impaired != self._impaired:
            self._impaired = impaired
            log_change("upstream_impaired" if impaired else "upstream_sound")
        threshold = gate.own_threshold if self._reports_threshold else None
        self._reports.update_own(self._membership.me.service, threshold, impaired)

    def _update_reporters(self) -> None:
        self._membership_version = self._membership.version
        me = self._membership.me
        names = [
            m.name for m in self._membership.present() if _is_instance_of(m, me.service)
        ]
        reporters = role_holders(names, "thresholds", MAX_REPORTERS)
        self._reports_threshold = me.name in reporters


def _is_instance_of(member: Member, service: str) -> bool:
    return member.service == service and member.ready and member.slots > 0
