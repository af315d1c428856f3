"""Disseminates and persists reports of crashes."""

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

#: Members to which a crash beside this node is sent at once.
_PUSHES = 8
#: Members to which updates are sent at each tick, and the anti-entropy datagram.
_FANOUT = 2
#: Ticks between two anti-entropy datagrams.
_ANTI_ENTROPY_TICKS = 10
#: Seconds between tries to write while the store does not answer: first and longest.
_FIRST_PAUSE = 0.2
_LONGEST_PAUSE = 2.0
#: Requests named on one line.
_MOST_LOGGED = 32


class QuarantineTask:
    """Disseminates reports of crashes as datagrams, and persists them in the store.

    Explanation
    ===========

    The quarantine has to outlive all nodes: they may all be replaced at once, while
    the callers that send the request are not.  So an instance whose upstream was
    among those that crashed writes what is known to the store, and every node reads
    that when it starts.

    Parameters
    ==========

    quarantine : Quarantine
        The state.
    membership : Membership
        Who is there.
    member_task : GossipTask
        Sends datagrams, and receives them.
    platform : WatchedPlatform
        The store.
    random : Random
        Source of jitter.
    has_succeeded : callable
        Tells whether the upstream beside this node ran a request with success lately.
    time_of_day : callable
        Returns Unix seconds; records hold the time of day, as no other clock outlives
        a process.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        membership: Membership,
        member_task: GossipTask,
        platform: WatchedPlatform,
        random: Random,
        has_succeeded: Callable[[int], bool],
        time_of_day: Callable[[], float],
    ) -> None:
        self._quarantine = quarantine
        self._membership = membership
        self._member_task = member_task
        self._platform = platform
        self._random = random
        self._has_succeeded = has_succeeded
        self._time_of_day = time_of_day
        self._ticks = 0
        self._version = 0
        self._logged: set[int] = set()
        #: Incarnations of the upstream beside this node that have crashed.
        self._own: set[int] = set()
        self._persisted: set[tuple[int, int]] = set()
        self._write: asyncio.Task | None = None
        member_task.on_crashes = self.receive_update

    def on_crash(self, incarnation: int, suspects: Iterable[int]) -> None:
        """Report a crash of the upstream beside this node."""
        self._own.add(incarnation)
        self._quarantine.report(incarnation, suspects)
        self._send(self._quarantine.updates(), _PUSHES)
        self._on_change()

    def receive_update(self, update: CrashUpdate) -> None:
        """Merge what another node has sent."""
        if self._quarantine.receive_successes(update.successes):
            self._on_change()
        self.receive(update.reports)

    def receive(self, reports: Iterable[CrashReport]) -> None:
        """Merge reports of crashes, and clear the suspects that succeed here."""
        if not self._quarantine.receive(reports):
            return
        for report in reports:
            for fingerprint in filter(self._has_succeeded, report.fingerprints):
                self._quarantine.on_success(fingerprint)
        self._on_change()

    def merge_record(self, value: object) -> None:
        """Merge what an instance has persisted.

        Raises
        ======

        ValueError
            If it is not a record of the quarantine.
        """
        self.receive(from_row(value, self._now()))

    def tick(self) -> None:
        """Send what is due; call ten times a second."""
        self._ticks += 1
        if not self._quarantine.has_updates:
            return
        successes = self._quarantine.success_updates()
        self._send(self._quarantine.updates(), _FANOUT, successes)
        if self._ticks % _ANTI_ENTROPY_TICKS == 0:
            self._send(self._quarantine.anti_entropy(), _FANOUT)

    async def persist_all(self) -> None:
        """Write all that is quarantined now, for a store that may have lost it.

        Raises
        ======

        PlatformDownError
            If the store does not answer.
        """
        reports = list(self._quarantine.quarantined_reports())
        if reports:
            await self._write_record(reports)

    def close(self) -> None:
        """Stop."""
        if self._write is not None:
            self._write.cancel()

    def _send(
        self,
        reports: list[CrashReport],
        count: int,
        successes: Iterable[SuccessReport] = (),
    ) -> None:
        if successes:
            self._member_task.pass_on(CrashUpdate((), tuple(successes)), count)
        if reports:
            self._member_task.pass_on(CrashUpdate(tuple(reports)), count)

    def _on_change(self) -> None:
        if self._quarantine.version == self._version:
            return
        self._version = self._quarantine.version
        self._log()
        idle = self._write is None or self._write.done()
        if idle and _pairs(self._own_reports()) != self._persisted:
            self._write = asyncio.ensure_future(self._persist())

    def _log(self) -> None:
        quarantined = set(self._quarantine.fingerprints)
        new = sorted(quarantined - self._logged)
        self._logged = quarantined
        if new:
            names = [format_fingerprint(f) for f in new[:_MOST_LOGGED]]
            log_change("requests_quarantined", requests=len(new), fingerprints=names)

    def _own_reports(self) -> list[CrashReport]:
        """Return the reports on quarantined requests that crashed the own upstream."""
        reports = list(self._quarantine.quarantined_reports())
        own = {f for r in reports if r.incarnation in self._own for f in r.fingerprints}
        return [
            r._replace(fingerprints=tuple(f for f in r.fingerprints if f in own))
            for r in reports
            if own.intersection(r.fingerprints)
        ]

    async def _persist(self) -> None:
        """Write until the store holds what is known now."""
        pause = _FIRST_PAUSE
        while True:
            reports = self._own_reports()
            if _pairs(reports) == self._persisted:
                return
            try:
                await self._write_record(reports)
            except PlatformDownError as error:
                log_change("quarantine_not_persisted", error=str(error))
                await asyncio.sleep(pause * self._random.uniform(0.7, 1.3))
                pause = min(_LONGEST_PAUSE, 2 * pause)
                continue
            self._persisted = _pairs(reports)

    async def _write_record(self, reports: list[CrashReport]) -> None:
        key = quarantine_key(self._membership.me.instance)
        await self._platform.transact({}, {key: to_row(reports, self._now())})

    def _now(self) -> int:
        return int(self._time_of_day() * 1000)


def _pairs(reports: Iterable[CrashReport]) -> set[tuple[int, int]]:
    return {(r.incarnation, f) for r in reports for f in r.fingerprints}
