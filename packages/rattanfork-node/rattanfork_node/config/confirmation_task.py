"""Sees to it that somebody asks the store whether there is something newer."""

import asyncio
from collections.abc import Sequence
from random import Random

from rattanfork_core.membership import UNKNOWN_AGE_MS, CachedVersions, RoleAssignment
from rattanfork_core.revision import ConfirmationSchedule
from rattanfork_platform import PlatformDownError

from rattanfork_node.config.follower import Follower
from rattanfork_node.member import GossipTask
from rattanfork_node.telemetry import Counters, log_change

#: Seconds between two looks at the schedule; of a node outside the group, which waits
#: for seconds, it would be most of what an idle node does.
_TICK = 0.05
_OUTSIDE_TICK = 0.25
#: Most members that are told at once; the others hear from these.
_MOST_TOLD = 16
#: Seconds without a confirmation from which a node says that it has none: with a
#: store that answers, twice what it takes in the worst case.
_UNCONFIRMED = 3.0


class ConfirmationTask:
    """Asks the store when the schedule says so, and tells the others.

    Parameters
    ==========

    random : Random
        Source of the choice whom to tell.
    schedule : ConfirmationSchedule
        When to ask.
    roster : RoleAssignment
        Who asks in turn.
    member_task : GossipTask
        Tells others, and hears them.
    followers : sequence of Follower
        What is kept up to date.
    counters : Counters
        What happened.
    """

    def __init__(
        self,
        random: Random,
        schedule: ConfirmationSchedule,
        roster: RoleAssignment,
        member_task: GossipTask,
        followers: Sequence[Follower],
        counters: Counters,
    ) -> None:
        self._random = random
        self._schedule = schedule
        self._roster = roster
        self._member_task = member_task
        self._followers = followers
        self._counters = counters
        self._view = -1
        self._confirmed = True
        self._task: asyncio.Task | None = None

    @property
    def age(self) -> float:
        """Seconds since the store held nothing newer than this node."""
        return self._schedule.age

    def start(self) -> None:
        """Begin."""
        self._task = asyncio.ensure_future(self._run())

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    def confirm_soon(self) -> None:
        """Ask the store soon, whoever else has asked."""
        self._schedule.schedule_now()

    def confirmation_age_ms(self) -> int:
        """Return what others are told of the age, in milliseconds."""
        known = self._schedule.confirmed and not self._behind()
        return int(self._schedule.age * 1000) if known else UNKNOWN_AGE_MS

    def on_held_versions(self, held: CachedVersions) -> None:
        """Take in what another node holds."""
        task = self._member_task
        older = (
            held.configuration < task.newest_configuration
            or held.rules < task.newest_rules
        )
        # A word about something older says nothing of the newest; and who is
        # behind asks for itself until it has what the others hold.
        if (
            held.confirmation_age_ms != UNKNOWN_AGE_MS
            and not older
            and not self._behind()
        ):
            self._schedule.on_confirmation(held.confirmation_age_ms / 1000)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_TICK if self._roster.includes_self else _OUTSIDE_TICK)
            self._note_age()
            if self._roster.version != self._view:
                self._regroup()
            if self._schedule.due():
                await self._ask()

    async def _ask(self) -> None:
        self._schedule.begin()
        succeeded = False
        try:
            version = 0
            for follower in self._followers:
                version = await follower.look(version)
            succeeded = True
        except PlatformDownError:
            self._counters.events["confirmation.unanswered"] += 1
        finally:
            self._schedule.end(succeeded)
        if succeeded:
            self._counters.events["confirmation.asked"] += 1
            others = self._roster.others
            told = min(_MOST_TOLD, len(others))
            self._member_task.tell(self._random.sample(others, told))

    def _behind(self) -> bool:
        return any(follower.behind for follower in self._followers)

    def _regroup(self) -> None:
        roster = self._roster
        self._view = roster.version
        self._schedule.set_group(
            len(roster.names), roster.fleet_size, roster.includes_self
        )

    def _note_age(self) -> None:
        confirmed = self._schedule.age < _UNCONFIRMED
        if confirmed != self._confirmed:
            self._confirmed = confirmed
            log_change("confirmation_regained" if confirmed else "confirmation_lost")
