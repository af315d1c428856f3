"""Makes the whole fleet refuse a request that ends upstreams."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from rattanfork_core.membership import CrashNews, Membership
from rattanfork_core.quarantine import CrashReport, Quarantine, from_row, to_row
from rattanfork_core.request import fingerprint_text
from rattanfork_platform import PlatformDownError, WatchedPlatform

from rattanfork_node.member.records import quarantine_key
from rattanfork_node.member.task import MemberTask
from rattanfork_node.telemetry import log_change

#: Members that are told at once of a crash beside this node.
_PUSHES = 8
#: Members that are told at each tick while there is news, and at each reminder.
_TOLD = 2
_REMINDED = 2
#: Ticks between two reminders.
_REMINDER_TICKS = 10
#: Seconds between tries to write while the store does not answer: first and longest.
_FIRST_PAUSE = 0.2
_LONGEST_PAUSE = 2.0
#: Requests named on one line.
_MOST_LOGGED = 32


class QuarantineTask:
    """Carries reports of crashes over datagrams, and keeps them in the store.

    Explanation
    ===========

    What makes a request quarantined has to outlive all nodes: they may all be
    replaced at once, while the callers that send the request are not.  So an instance
    whose upstream was among those that ended writes what is known to the store; every
    node reads that when it starts.

    Parameters
    ==========

    quarantine : Quarantine
        What is known.
    membership : Membership
        Who is there.
    member_task : MemberTask
        Sends datagrams, and receives them.
    platform : WatchedPlatform
        The store.
    random : Random
        Source of jitter.
    time_of_day : callable
        Returns Unix seconds; reports are kept with the time of day, as no other clock
        outlives a process.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        membership: Membership,
        member_task: MemberTask,
        platform: WatchedPlatform,
        random: Random,
        time_of_day: Callable[[], float],
    ) -> None:
        self._quarantine = quarantine
        self._membership = membership
        self._member_task = member_task
        self._platform = platform
        self._random = random
        self._time_of_day = time_of_day
        self._ticks = 0
        self._version = 0
        self._logged: set[int] = set()
        #: Incarnations of this instance's upstream that have crashed.
        self._own: set[int] = set()
        self._stored: set[tuple[int, int]] = set()
        self._write: asyncio.Task | None = None
        member_task.on_crashes = self.receive

    def on_crash(self, incarnation: int, accused: Iterable[int]) -> None:
        """Take note that the upstream beside this node has crashed."""
        self._own.add(incarnation)
        self._quarantine.report(incarnation, accused)
        self._pass_on_news(_PUSHES)
        self._look_for_changes()

    def receive(self, reports: Iterable[CrashReport]) -> None:
        """Take in reports of other nodes."""
        if self._quarantine.receive(reports):
            self._look_for_changes()

    def read_record(self, value: object) -> None:
        """Take in what an instance has kept in the store.

        Raises
        ======

        ValueError
            If it is not a record of the quarantine.
        """
        self.receive(from_row(value, self._now()))

    def tick(self) -> None:
        """Tell others; call ten times a second."""
        self._ticks += 1
        if not len(self._quarantine):
            return
        self._pass_on_news(_TOLD)
        if self._ticks % _REMINDER_TICKS == 0:
            self._pass_on(self._quarantine.reminder(), _REMINDED)

    async def keep_all(self) -> None:
        """Write all that is held now, for a store that may have lost it.

        Raises
        ======

        PlatformDownError
            If the store does not answer.
        """
        reports = list(self._quarantine.held_reports())
        if reports:
            await self._write_record(reports)

    def close(self) -> None:
        """Stop."""
        if self._write is not None:
            self._write.cancel()

    def _pass_on_news(self, count: int) -> None:
        self._pass_on(self._quarantine.news(), count)

    def _pass_on(self, reports: list[CrashReport], count: int) -> None:
        if reports:
            self._member_task.pass_on(CrashNews(tuple(reports)), count)

    def _look_for_changes(self) -> None:
        if self._quarantine.version == self._version:
            return
        self._version = self._quarantine.version
        self._log()
        idle = self._write is None or self._write.done()
        if idle and _pairs(self._reports_to_keep()) - self._stored:
            self._write = asyncio.ensure_future(self._keep())

    def _log(self) -> None:
        held = set(self._quarantine.held)
        new = sorted(held - self._logged)
        self._logged = held
        if new:
            names = [fingerprint_text(f) for f in new[:_MOST_LOGGED]]
            log_change("requests_quarantined", requests=len(new), fingerprints=names)

    def _reports_to_keep(self) -> list[CrashReport]:
        """Return all that is known of the requests that crashed the own upstream."""
        reports = list(self._quarantine.held_reports())
        mine = {
            f for r in reports if r.incarnation in self._own for f in r.fingerprints
        }
        return [
            r._replace(fingerprints=tuple(f for f in r.fingerprints if f in mine))
            for r in reports
            if mine.intersection(r.fingerprints)
        ]

    async def _keep(self) -> None:
        """Write until the store holds what is known now."""
        pause = _FIRST_PAUSE
        while True:
            reports = self._reports_to_keep()
            if not _pairs(reports) - self._stored:
                return
            try:
                await self._write_record(reports)
            except PlatformDownError as error:
                log_change("quarantine_not_kept", error=str(error))
                await asyncio.sleep(pause * self._random.uniform(0.7, 1.3))
                pause = min(_LONGEST_PAUSE, 2 * pause)
                continue
            self._stored = _pairs(reports)

    async def _write_record(self, reports: list[CrashReport]) -> None:
        key = quarantine_key(self._membership.me.instance)
        await self._platform.transact({}, {key: to_row(reports, self._now())})

    def _now(self) -> int:
        return int(self._time_of_day() * 1000)


def _pairs(reports: Iterable[CrashReport]) -> set[tuple[int, int]]:
    return {(r.incarnation, f) for r in reports for f in r.fingerprints}
