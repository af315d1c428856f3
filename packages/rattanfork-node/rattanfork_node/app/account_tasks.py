"""Wires client account authentication and quotas of a routing node."""

from random import Random

from rattanfork_core.client_accounts import AccountIndex
from rattanfork_core.clock import BootTimeClock
from rattanfork_core.membership import Member, Membership, MemberStatus
from rattanfork_core.revision import ConfigurationLease

from rattanfork_node.app.store_tasks import StoreTasks
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.member import GossipTask
from rattanfork_node.member.quota_task import QuotaTask
from rattanfork_node.relay import ClientAccounts, RelaySettings
from rattanfork_node.telemetry import Counters


class ClientAccountTasks:
    """Client account authentication, the configuration lease behind it, and quotas.

    Parameters
    ==========

    random : Random
        Source of random delays.
    settings : RelaySettings
        Settings of the request path, including those of quotas.
    configuration : ConfigurationHolder
        The configuration in force.
    lease : ConfigurationLease
        Proof that the configuration in force is recent enough to accept keys.
    membership : Membership
        Members of the fleet.
    gossip_task : GossipTask
        Sends and receives the datagrams of the quota protocol.
    store : StoreTasks
        Renews the lease and knows whether this node has joined the fleet.
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

    def _account_index(self) -> AccountIndex | None:
        configuration = self._configuration.current
        return None if configuration is None else configuration.accounts
