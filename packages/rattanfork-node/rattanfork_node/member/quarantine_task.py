"""Dissemination and persistence of crash reports."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from rattanfork_core.membership import CrashUpdate, Membership
from rattanfork_core.quarantine import (
    CrashReport,
    Quarantine,
    SuccessReport,
    from_row,
    to_row,
)
from rattanfork_core.request import format_fingerprint
from rattanfork_platform import PlatformDownError, WatchedPlatform

from rattanfork_node.member.gossip_task import GossipTask
from rattanfork_node.member.records import quarantine_key
from rattanfork_node.telemetry import log_change

#: Members to which a crash of the local upstream is sent at once.
_PUSH_FANOUT = 8
#: Members to which each periodic message is sent.
_GOSSIP_FANOUT = 2
#: Ticks between two anti-entropy messages.
_ANTI_ENTROPY_TICKS = 10
#: Bounds of the exponential back-off while the store does not answer.
_MIN_RETRY_DELAY_S = 0.2
_MAX_RETRY_DELAY_S = 2.0
#: Largest number of request fingerprints in one log line.
_MAX_LOGGED_FINGERPRINTS = 32


class QuarantineTask:
    """Gossips crash reports and persists them in the store.

    Explanation
    ===========

    A request that crashes upstreams is quarantined.  The quarantine has to survive
    the simultaneous replacement of all nodes, as callers may keep sending the
    request.  Every node whose upstream was among those that crashed therefore writes
    the reports to the store, and every node reads them at start-up.

    Parameters
    ==========

    quarantine : Quarantine
        Quarantine state of this node.
    membership : Membership
        Membership view of this node.
    gossip_task : GossipTask
        Sends and receives gossip messages.
    platform : WatchedPlatform
        The store.
    random : Random
        Source of jitter.
    has_succeeded : callable
        Returns whether a request with this fingerprint has recently succeeded at the
        local upstream.
    time_of_day : callable
        Returns Unix seconds; records hold wall-clock time, as monotonic clocks do not
        survive a restart.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        membership: Membership,
        gossip_task: GossipTask,
        platform: WatchedPlatform,
        random: Random,
        has_succeeded: Callable[[int], bool],
        time_of_day: Callable[[], float],
    ) -> None:
        self._quarantine = quarantine
        self._membership = membership
        self._gossip_task = gossip_task
        self._platform = platform
        self._random = random
        self._has_succeeded = has_succeeded
        self._time_of_day = time_of_day
        self._ticks = 0
        self._seen_version = 0
        self._logged_fingerprints: set[int] = set()
        #: Incarnations of the local upstream that have crashed.
        self._own_incarnations: set[int] = set()
        self._persisted: set[tuple[int, int]] = set()
        self._write_task: asyncio.Task | None = None
        gossip_task.on_crash_update = self.receive_update

    def on_crash(self, incarnation: int, suspects: Iterable[int]) -> None:
        """Report a crash of the local upstream and the requests it was running."""
        self._own_incarnations.add(incarnation)
        self._quarantine.report(incarnation, suspects)
        self._send(self._quarantine.updates(), _PUSH_FANOUT)
        self._handle_change()

    def receive_update(self, update: CrashUpdate) -> None:
        """Merge an update of another node."""
        if self._quarantine.receive_successes(update.successes):
            self._handle_change()
        self.receive(update.reports)

    def receive(self, reports: Iterable[CrashReport]) -> None:
        """Merge crash reports, and clear suspects that have succeeded here."""
        if not self._quarantine.receive(reports):
            return
        for report in reports:
            for fingerprint in filter(self._has_succeeded, report.fingerprints):
                self._quarantine.on_success(fingerprint)
        self._handle_change()

    def merge_record(self, value: object) -> None:
        """Merge the reports that an instance has persisted.

        Raises
        ======

        ValueError
            If the value is not a quarantine record.
        """
        self.receive(from_row(value, self._now()))

    def tick(self) -> None:
        """Send due updates; call ten times a second."""
        self._ticks += 1
        if not self._quarantine.has_updates:
            return
        successes = self._quarantine.success_updates()
        self._send(self._quarantine.updates(), _GOSSIP_FANOUT, successes)
        if self._ticks % _ANTI_ENTROPY_TICKS == 0:
            self._send(self._quarantine.anti_entropy(), _GOSSIP_FANOUT)

    async def persist_all(self) -> None:
        """Write all quarantined reports, for a store that may have lost them.

        Raises
        ======

        PlatformDownError
            If the store does not answer.
        """
        reports = list(self._quarantine.quarantined_reports())
        if reports:
            await self._write_record(reports)

    def close(self) -> None:
        """Cancel a pending write."""
        if self._write_task is not None:
            self._write_task.cancel()

    def _send(
        self,
        reports: list[CrashReport],
        count: int,
        successes: Iterable[SuccessReport] = (),
    ) -> None:
        if successes:
            self._gossip_task.send_to_random(CrashUpdate((), tuple(successes)), count)
        if reports:
            self._gossip_task.send_to_random(CrashUpdate(tuple(reports)), count)

    def _handle_change(self) -> None:
        if self._quarantine.version == self._seen_version:
            return
        self._seen_version = self._quarantine.version
        self._log_new_fingerprints()
        idle = self._write_task is None or self._write_task.done()
        if idle and _pairs(self._own_reports()) != self._persisted:
            self._write_task = asyncio.ensure_future(self._persist())

    def _log_new_fingerprints(self) -> None:
        quarantined = set(self._quarantine.fingerprints)
        new = sorted(quarantined - self._logged_fingerprints)
        self._logged_fingerprints = quarantined
        if new:
            names = [format_fingerprint(f) for f in new[:_MAX_LOGGED_FINGERPRINTS]]
            log_change("requests_quarantined", requests=len(new), fingerprints=names)

    def _own_reports(self) -> list[CrashReport]:
        """Return reports limited to quarantined requests that crashed this upstream."""
        reports = list(self._quarantine.quarantined_reports())
        own = {
            f
            for r in reports
            if r.incarnation in self._own_incarnations
            for f in r.fingerprints
        }
        return [
            r._replace(fingerprints=tuple(f for f in r.fingerprints if f in own))
            for r in reports
            if own.intersection(r.fingerprints)
        ]

    async def _persist(self) -> None:
        """Write until the store holds the current reports."""
        delay = _MIN_RETRY_DELAY_S
        while True:
            reports = self._own_reports()
            if _pairs(reports) == self._persisted:
                return
            try:
                await self._write_record(reports)
            except PlatformDownError as error:
                log_change("quarantine_not_persisted", error=str(error))
                await asyncio.sleep(delay * self._random.uniform(0.7, 1.3))
                delay = min(_MAX_RETRY_DELAY_S, 2 * delay)
                continue
            self._persisted = _pairs(reports)

    async def _write_record(self, reports: list[CrashReport]) -> None:
        key = quarantine_key(self._membership.me.instance)
        await self._platform.transact({}, {key: to_row(reports, self._now())})

    def _now(self) -> int:
        return int(self._time_of_day() * 1000)


def _pairs(reports: Iterable[CrashReport]) -> set[tuple[int, int]]:
    return {(r.incarnation, f) for r in reports for f in r.fingerprints}
