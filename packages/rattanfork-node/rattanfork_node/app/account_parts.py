"""Wires the parts of a node that deal with client accounts."""

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


class AccountParts:
    """Client accounts, the proof that their keys hold, and their quotas.

    Parameters
    ==========

    random : Random
        Source of jitter.
    settings : RelaySettings
        Bounds.
    configuration : ConfigurationHolder
        The configuration in force.
    lease : ConfigurationLease
        How recent the proof is that it is the newest.
    membership : Membership
        Who is there.
    member_task : GossipTask
        Sends and receives datagrams.
    store : StoreTasks
        Renews the lease, and knows whether this node has joined.
    counters : Counters
        What happened.
    """

    def __init__(
        self,
        random: Random,
        settings: RelaySettings,
        configuration: ConfigurationHolder,
        lease: ConfigurationLease,
        membership: Membership,
        member_task: GossipTask,
        store: StoreTasks,
        counters: Counters,
    ) -> None:
        # Tokens are void also if the machine was suspended since.
        clock = BootTimeClock()
        self._configuration = configuration
        self._lease_task = store.lease
        self._quota = QuotaTask(
            clock,
            random,
            membership,
            member_task,
            settings.quota,
            self._index,
            lambda: store.joined,
        )
        #: Lets requests in.
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
        """Take note of a member that came, went or is suspected."""
        self._quota.on_status_change(member, before)

    def on_configuration(self) -> None:
        """Take note that another configuration came into force."""
        self.accounts.recheck_waiting()

    def tick(self) -> None:
        """Carry on; call ten times a second."""
        self._lease_task.tick()
        self._quota.tick()
        self.accounts.tick()

    def _index(self) -> AccountIndex | None:
        current = self._configuration.current
        return None if current is None else current.accounts
