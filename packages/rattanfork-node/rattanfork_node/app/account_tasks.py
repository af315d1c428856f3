"""Wires client accounts of a routing node: authentication, quotas, fair shares."""

from random import Random

from rattanfork_core.client_accounts import AccountIndex
from rattanfork_core.clock import BootTimeClock, MonotonicClock
from rattanfork_core.fair_shares import FairShares, TotalsTable
from rattanfork_core.membership import Member, Membership, MemberStatus
from rattanfork_core.revision import ConfigurationLease

from rattanfork_node.app.store_tasks import StoreTasks
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.member import GossipTask
from rattanfork_node.member.demand_task import DemandTask
from rattanfork_node.member.quota_task import QuotaTask
from rattanfork_node.relay import ClientAccounts, RelaySettings
from rattanfork_node.telemetry import Counters


class ClientAccountTasks:
    """Client account authentication with its lease, quotas, and fair shares.

    Parameters
    ==========

    random : Random
        Source of random delays.
    settings : RelaySettings
        Settings of the route path, including those of quotas.
    configuration : ConfigurationHolder
        The configuration in force.
    lease : ConfigurationLease
        Proof that the configuration in force is recent enough to accept keys.
    membership : Membership
        Members of the fleet.
    gossip_task : GossipTask
        Sends and receives the datagrams of the quota protocol.
    store : StoreTasks
        Renews the lease and states whether this node has joined the fleet.
    counters : Counters
        Event counters.
    """

    def __init__(
        self,
        random: Random,
        settings: RelaySettings,
        configuration: ConfigurationHolder,
        lease: ConfigurationLease,
        membership: Membership,
        gossip_task: GossipTask,
        store: StoreTasks,
        counters: Counters,
    ) -> None:
        # Includes the time in which the machine was suspended, so that quota tokens
        # expire then too.
        clock = BootTimeClock()
        self._configuration = configuration
        self._lease_task = store.lease
        self._quota = QuotaTask(
            clock,
            random,
            membership,
            gossip_task,
            settings.quota,
            self._account_index,
            lambda: store.joined,
        )
        #: Authenticates requests and applies the quotas.
        self.accounts = ClientAccounts(
            clock,
            configuration,
            lease,
            self._quota.leases,
            counters,
            settings.revoke_within,
            self._lease_task.renew_soon,
        )
        # Reports are sent by the clock of the gates' reports, which stops while the
        # machine is suspended; demand and thresholds then age alike.
        demand_clock = MonotonicClock()
        totals = TotalsTable(demand_clock)
        #: Ranks of requests by the demand of their accounts.
        self.fair_shares = FairShares(demand_clock, totals)
        #: Exchanges the demand with other nodes.
        self.demand = DemandTask(
            demand_clock,
            random,
            membership,
            gossip_task,
            self.fair_shares,
            totals,
            lambda: self._account_index() is not None,
        )
        self._lease_task.on_renewed = self.accounts.recheck_waiting

    def on_member(self, member: Member, before: MemberStatus | None) -> None:
        """Handle a member's change of status."""
        self._quota.on_status_change(member, before)

    def on_configuration(self) -> None:
        """Recheck the waiting requests against a new configuration."""
        self.accounts.recheck_waiting()

    def tick(self) -> None:
        """Run periodic work; call ten times a second."""
        self._lease_task.tick()
        self._quota.tick()
        self.accounts.tick()
        self.demand.tick()

    def _account_index(self) -> AccountIndex | None:
        configuration = self._configuration.current
        return None if configuration is None else configuration.accounts
