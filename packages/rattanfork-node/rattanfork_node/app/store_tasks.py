"""Wires the tasks of a routing node that read and write the store."""

from collections.abc import Awaitable, Callable
from random import Random

from rattanfork_core.clock import BootTimeClock, Clock
from rattanfork_core.membership import CachedVersions, Membership, RoleAssignment
from rattanfork_core.revision import (
    ConfigurationLease,
    ConfirmationSchedule,
    RevisionState,
)
from rattanfork_platform import WatchedPlatform

from rattanfork_node.config.configuration_task import ConfigurationTask
from rattanfork_node.config.confirmation_task import ConfirmationTask
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.config.lease_task import LeaseTask
from rattanfork_node.config.restore_task import RestoreTask
from rattanfork_node.config.rules_watcher import RulesWatcher
from rattanfork_node.member import GossipTask
from rattanfork_node.member.join import JoinTask
from rattanfork_node.member.retirement_task import RetirementTask
from rattanfork_node.peer import PeerPool
from rattanfork_node.telemetry import Counters

#: Nodes of each data centre that watch and query the store on behalf of all: enough
#: that not all of them are down, paused or rejected by the store at the same time.
_READERS_PER_DATA_CENTRE = 4


class StoreTasks:
    """Tasks for joining, configuration, rules, confirmation, lease and restore.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of random choices and delays.
    platform : WatchedPlatform
        The store.
    row : pair of str
        Table and key of the configuration.
    configuration : ConfigurationHolder
        The configuration in force.
    rules : RevisionState
        The rules in force.
    membership : Membership
        Members of the fleet.
    gossip_task : GossipTask
        Exchanges versions of configuration and rules with other nodes.
    pool : PeerPool
        Connections to other nodes.
    counters : Counters
        Event counters.
    on_quarantine : callable
        Called with the quarantine records that nodes have persisted.
    on_dependencies : callable
        Called with the dependencies that nodes have persisted.
    retirements : RetirementTask
        Receives the retirements that nodes have persisted.
    persist_quarantine : callable
        Coroutine function that writes the quarantine to the store.
    lease : ConfigurationLease
        Proof that the configuration in force is recent enough to accept keys.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        platform: WatchedPlatform,
        row: tuple[str, str],
        configuration: ConfigurationHolder,
        rules: RevisionState,
        membership: Membership,
        gossip_task: GossipTask,
        pool: PeerPool,
        counters: Counters,
        on_quarantine: Callable[[object], None],
        on_dependencies: Callable[[object], None],
        retirements: RetirementTask,
        persist_quarantine: Callable[[], Awaitable[None]],
        lease: ConfigurationLease,
    ) -> None:
        self._configuration = configuration
        self._rules = rules
        store_readers = RoleAssignment(
            membership, "confirmation", _READERS_PER_DATA_CENTRE
        )
        self._join = JoinTask(
            random,
            platform,
            membership,
            gossip_task,
            on_quarantine,
            on_dependencies,
            retirements.merge_record,
            retirements.on_joined,
            counters,
        )
        self._configuration_task = ConfigurationTask(
            clock,
            random,
            configuration,
            platform,
            *row,
            membership,
            gossip_task,
            pool,
            counters,
            lambda: store_readers.includes_self,
            lease,
        )
        self._rules_watcher = RulesWatcher(
            random,
            rules,
            platform,
            membership,
            pool,
            counters,
            lambda: gossip_task.newest_rules,
            lambda: gossip_task.rules_source,
            lambda: store_readers.includes_self,
        )
        self._confirmation = ConfirmationTask(
            random,
            ConfirmationSchedule(BootTimeClock(), random),
            store_readers,
            gossip_task,
            (self._configuration_task, self._rules_watcher),
            counters,
        )
        #: Renews the lease on the configuration.
        self.lease = LeaseTask(
            random,
            lease,
            configuration,
            membership,
            store_readers,
            gossip_task,
            self._confirmation.confirm_soon,
        )
        self._restore = RestoreTask(
            random,
            platform,
            store_readers,
            membership,
            rules,
            (retirements.persist_all, persist_quarantine),
            counters,
        )
        membership.cached_versions = self._cached_versions
        gossip_task.on_cached_versions = self._confirmation.on_cached_versions

    @property
    def joined(self) -> bool:
        """Whether this node's record is in the store and the others' were read."""
        return self._join.joined

    @property
    def confirmed_age(self) -> float:
        """Seconds since a confirmation that the store holds nothing newer."""
        return self._confirmation.age

    def start(self) -> None:
        """Start all tasks."""
        self._join.start()
        self._configuration_task.start()
        self._rules_watcher.start()
        self._confirmation.start()
        self._restore.start()

    async def leave(self) -> None:
        """Remove this node's record from the store."""
        await self._join.leave()

    def close(self) -> None:
        """Stop all tasks."""
        self._configuration_task.close()
        self._rules_watcher.close()
        self._confirmation.close()
        self._restore.close()
        self._join.close()

    def _cached_versions(self) -> CachedVersions:
        return CachedVersions(
            self._configuration.version,
            self._rules.order,
            self._confirmation.confirmation_age_ms(),
        )
