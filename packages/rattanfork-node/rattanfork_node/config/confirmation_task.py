"""Periodic confirmation that the store holds no newer configuration or rules."""

import asyncio
from collections.abc import Sequence
from random import Random

from rattanfork_core.membership import UNKNOWN_AGE_MS, CachedVersions, RoleAssignment
from rattanfork_core.revision import ConfirmationSchedule
from rattanfork_platform import PlatformDownError

from rattanfork_node.config.kept_task import keep_running
from rattanfork_node.config.store_replica import StoreReplica
from rattanfork_node.member import GossipTask
from rattanfork_node.telemetry import Counters, log_change
from rattanfork_node.ticks import sleep_ticks

#: Interval at which a reader checks the schedule.
_READER_INTERVAL_S = 0.05
#: Ticks between the checks of all other nodes.  Their delays are seconds, and the
#: shorter interval would account for most of the CPU use of an idle node.
_OTHER_TICKS = 2
#: Members notified directly of a confirmation; gossip reaches the others.
_MAX_NOTIFIED = 16
#: Age from which confirmation counts as lost: twice the worst case with a responsive
#: store.
_UNCONFIRMED_AFTER_S = 3.0


class ConfirmationTask:
    """Polls the store on a schedule and disseminates the result.

    Explanation
    ===========

    A confirmation is a poll after which this node holds the newest version of all
    replicas.  Every node gossips the age of its confirmation, and adopts a younger
    one from others, so a few polls per second confirm the whole fleet.

    Parameters
    ==========

    random : Random
        Source of the choice of members to notify.
    schedule : ConfirmationSchedule
        Decides when to poll.
    readers : RoleAssignment
        Nodes that take turns polling the store.
    gossip_task : GossipTask
        Sends the confirmation to other members.
    replicas : sequence of StoreReplica
        Data to refresh, in this order.
    counters : Counters
        Event counters.
    """

    def __init__(
        self,
        random: Random,
        schedule: ConfirmationSchedule,
        readers: RoleAssignment,
        gossip_task: GossipTask,
        replicas: Sequence[StoreReplica],
        counters: Counters,
    ) -> None:
        self._random = random
        self._schedule = schedule
        self._readers = readers
        self._gossip_task = gossip_task
        self._replicas = replicas
        self._counters = counters
        self._readers_version = -1
        self._confirmed = True
        self._task: asyncio.Task | None = None

    @property
    def age(self) -> float:
        """Seconds since the store last confirmed what this node holds."""
        return self._schedule.age

    def start(self) -> None:
        """Start the background task."""
        self._task = keep_running(self._run, self._counters.events)

    def close(self) -> None:
        """Cancel the background task."""
        if self._task is not None:
            self._task.cancel()

    def confirm_soon(self) -> None:
        """Poll the store soon, even if another node has just done so."""
        self._schedule.schedule_now()

    def confirmation_age_ms(self) -> int:
        """Return the confirmation age in ms to gossip; UNKNOWN_AGE_MS if none."""
        known = self._schedule.confirmed and not self._outdated()
        return int(self._schedule.age * 1000) if known else UNKNOWN_AGE_MS

    def on_cached_versions(self, versions: CachedVersions) -> None:
        """Adopt the confirmation age of another node if it applies here."""
        task = self._gossip_task
        older = (
            versions.configuration < task.newest_configuration
            or versions.rules < task.newest_rules
        )
        # A confirmation of an older version proves nothing about the newest.  A
        # node that is outdated polls for itself until it has caught up.
        if (
            versions.confirmation_age_ms != UNKNOWN_AGE_MS
            and not older
            and not self._outdated()
        ):
            self._schedule.on_confirmation(versions.confirmation_age_ms / 1000)

    async def _run(self) -> None:
        while True:
            if self._readers.includes_self:
                await asyncio.sleep(_READER_INTERVAL_S)
            else:
                await sleep_ticks(_OTHER_TICKS)
            self._report_age()
            if self._readers.version != self._readers_version:
                self._update_readers()
            if self._schedule.due():
                await self._confirm_with_store()

    async def _confirm_with_store(self) -> None:
        self._schedule.begin()
        succeeded = False
        try:
            version = 0
            for replica in self._replicas:
                version = await replica.refresh(version)
            succeeded = True
        except PlatformDownError:
            self._counters.events["confirmation.unanswered"] += 1
        finally:
            self._schedule.end(succeeded)
        if succeeded:
            self._counters.events["confirmation.asked"] += 1
            others = self._readers.others
            notified = min(_MAX_NOTIFIED, len(others))
            self._gossip_task.push_cached_versions(
                self._random.sample(others, notified)
            )

    def _outdated(self) -> bool:
        return any(replica.outdated for replica in self._replicas)

    def _update_readers(self) -> None:
        readers = self._readers
        self._readers_version = readers.version
        self._schedule.set_group(
            len(readers.names), readers.fleet_size, readers.includes_self
        )

    def _report_age(self) -> None:
        confirmed = self._schedule.age < _UNCONFIRMED_AFTER_S
        if confirmed != self._confirmed:
            self._confirmed = confirmed
            log_change("confirmation_regained" if confirmed else "confirmation_lost")
