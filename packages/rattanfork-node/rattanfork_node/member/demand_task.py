"""Exchange of the demand of client accounts between nodes, while there is overload."""

from collections.abc import Callable
from random import Random

from rattanfork_core.clock import Clock
from rattanfork_core.fair_shares import (
    CollectorChoice,
    DemandCollector,
    DemandReport,
    DemandTotals,
    FairShares,
    TotalsTable,
    sample_reports,
)
from rattanfork_core.membership import Membership, role_holders

from rattanfork_node.member.gossip_task import GossipTask
from rattanfork_node.telemetry import log_change

#: Ticks between two reports, and between two totals.
_REPORT_TICKS = 5
#: Members in the order in which they become collectors.
_CANDIDATES = 16
#: Members up to which the collector sends to all nodes itself and nodes report all
#: their counts.  Larger fleets forward the totals and sample the reports.
_SMALL_FLEET = 256
#: Members to which a node of a large fleet forwards totals at a tick.
_FANOUT = 2
#: Accounts in the reports that the collector of a large fleet receives for each totals,
#: on average: the standard error of an account with 1/100 of all requests is 0.16.
_SAMPLED_ENTRIES = 1024
#: Reports in the window of two seconds.
_REPORTS_IN_WINDOW = 4


class DemandTask:
    """Reports this node's requests by account, and sums and sends totals.

    Nothing is computed or sent while the configuration has no client accounts, or
    while no request gets a fair rank and no report arrives.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of the draws of sampled reports.
    membership : Membership
        Membership view of this node.
    gossip_task : GossipTask
        Sends and receives gossip messages.
    fair_shares : FairShares
        Counts the requests of this node.
    totals : TotalsTable
        Totals received from collectors.
    has_accounts : callable
        Returns whether the configuration in force has client accounts.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        membership: Membership,
        gossip_task: GossipTask,
        fair_shares: FairShares,
        totals: TotalsTable,
        has_accounts: Callable[[], bool],
    ) -> None:
        self._random = random
        self._membership = membership
        self._gossip_task = gossip_task
        self._fair_shares = fair_shares
        self._totals = totals
        self._has_accounts = has_accounts
        self._collector = DemandCollector(membership.me.name, totals)
        self._choice = CollectorChoice(clock)
        self._candidates: list[str] = []
        self._candidates_version = -1
        self._ticks = 0
        self._active: list[int] = []
        gossip_task.direct_handlers[DemandReport] = self.on_report
        gossip_task.direct_handlers[DemandTotals] = self.on_totals

    @property
    def sends(self) -> bool:
        """Whether this node is the collector that sends totals."""
        return self._collector.sends

    def on_report(self, report: DemandReport, address: tuple[str, int]) -> None:
        """Sum a report of another node, which considers this one a collector."""
        if self._has_accounts():
            self._collector.add(report)

    def on_totals(self, totals: DemandTotals, address: tuple[str, int]) -> None:
        """Store totals of a collector."""
        if self._has_accounts():
            self._totals.merge(totals)

    def tick(self) -> None:
        """Send what is due; call ten times a second."""
        if not self._has_accounts():
            if self._active:
                self._fair_shares.discard()
                self._log_changes()
            return
        if len(self._totals) and len(self._membership.members) > _SMALL_FLEET:
            for message in self._totals.take_forwards():
                self._gossip_task.send_to_random(message, _FANOUT)
        self._ticks += 1
        if self._ticks % _REPORT_TICKS == 0:
            self._log_changes()
            self._report()
            if self._collector.active:
                self._send_totals()

    def gauges(self) -> dict[str, float]:
        """Return gauges by name; none without client accounts.

        Rates and numbers of limited accounts are given for importances with a fair
        rank within the last two seconds.
        """
        if not self._has_accounts():
            return {}
        active = self._fair_shares.active_importances
        gauges: dict[str, float] = {
            "fair_share_active": len(active),
            "fair_share_collector": int(self.sends),
        }
        for importance in active:
            last = self._fair_shares.last_rank(importance)
            if last is not None:
                gauges[f"fair_share_rate_{importance}"] = last.fair_rate
                gauges[f"fair_share_limited_accounts_{importance}"] = (
                    last.limited_accounts
                )
                gauges[f"fair_share_by_fleet_{importance}"] = int(last.from_fleet)
        return gauges

    def _report(self) -> None:
        taken = self._fair_shares.take_counts()
        if not taken:
            return
        me = self._membership.me.name
        targets = self._choice.targets(self._candidate_names(), self._totals.sender())
        for importance, admitted, counts in taken:
            quantum = self._quantum(importance, sum(counts.values()))
            for report in sample_reports(
                importance, admitted, counts, quantum, self._random
            ):
                for name in targets:
                    member = self._membership.members.get(name)
                    if name == me:
                        self._collector.add(report)
                    elif member is not None:
                        self._gossip_task.send(report, member.address)

    def _send_totals(self) -> None:
        small = len(self._membership.members) <= _SMALL_FLEET
        for message in self._collector.take_totals():
            self._totals.merge(message)
            if small:
                self._gossip_task.send_to_all(message)

    def _quantum(self, importance: int, own_count: int) -> int:
        """Return the count from which requests of an account are always reported."""
        size = len(self._membership.members)
        if size <= _SMALL_FLEET:
            return 1
        in_fleet = self._fair_shares.fleet_demand(importance) / _REPORTS_IN_WINDOW
        # Without totals, this node's requests are taken for those of an average node.
        return int((in_fleet or own_count * size) / _SAMPLED_ENTRIES) + 1

    def _candidate_names(self) -> list[str]:
        if self._candidates_version != self._membership.version:
            self._candidates_version = self._membership.version
            names = (member.name for member in self._membership.present())
            self._candidates = role_holders(names, "demand", _CANDIDATES)
        return self._candidates

    def _log_changes(self) -> None:
        active = self._fair_shares.active_importances
        if active == self._active:
            return
        for importance in active:
            if importance not in self._active:
                log_change("fair_shares_on", importance=importance)
        for importance in self._active:
            if importance not in active:
                log_change("fair_shares_off", importance=importance)
        self._active = active
