"""One soak: a plan of faults from a seed, played on real processes."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from random import Random

from rattanfork_adapter.tests.fleet import logged_version, wait_until

from rattanfork_soak.checks import Checks
from rattanfork_soak.client import Client
from rattanfork_soak.faults import Fault, StoreForgets, draw_fault
from rattanfork_soak.finding import Finding
from rattanfork_soak.place import Place
from rattanfork_soak.world import TIMEOUT, World

#: Seconds between two looks at what arrived at workers.
_REVIEW = 0.2
#: Seconds after the last fault until all must be well again, and for which it
#: is then looked at.
_SETTLE = 4.0
_CALM = 3.0
#: Seconds in which an accepted configuration is to be in force, and those that a
#: store may need to be stable again after it was silent.
_IN_FORCE = 2.0 + 3.0
#: Two nodes are killed or stopped within seconds; a node starts in about one.
_WAIT_LIMIT_S = 30.0


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """What a soak is made of.

    Parameters
    ==========

    seconds : float
        Time in which faults begin.
    nodes : int
        Nodes, each with a worker.
    clients : int
        Clients of each node.
    pause : float
        Mean time between the beginnings of two faults.
    judge_times : bool
        Whether answers and the recovery must come within their times; off where
        others use the same machine and a verdict must not depend on them.
    """

    seconds: float = 20.0
    nodes: int = 4
    clients: int = 3
    pause: float = 0.8
    judge_times: bool = True


class Soak:
    """One soak.

    Parameters
    ==========

    seed : int
        Decides the plan of faults and what clients and workers do.
    settings : SoakSettings
        Sizes.
    folder : Path
        Where settings and logs go.
    """

    def __init__(self, seed: int, settings: SoakSettings, folder: Path) -> None:
        self._settings = settings
        self._seed = seed
        self._random = Random(seed)
        self._folder = folder
        self._tasks: list[asyncio.Task] = []
        self._faults: set[asyncio.Task] = set()
        #: The faults that were begun, with their times.
        self.plan: list[str] = []
        self.requests = 0

    async def run(self) -> list[Finding]:
        """Play it; return what was found."""
        world = World(self._folder, self._settings.nodes, self._random)
        timeout = TIMEOUT if self._settings.judge_times else None
        workers = [place.worker for place in world.places]
        checks = Checks(workers, timeout, world.keys)
        try:
            await world.start()
            self._begin(world, checks)
            await self._strike(world)
            await self._settle(world, checks)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await world.stop()
        checks.review()
        checks.check_deadly()
        self.requests = sum(1 for _ in checks.records)
        return checks.findings

    def _begin(self, world: World, checks: Checks) -> None:
        for place in world.places:
            for number in range(self._settings.clients):
                client = Client(
                    f"{place.name}c{number}",
                    place,
                    checks,
                    Random(self._random.getrandbits(64)),
                    lambda: world.version,
                    world.keys,
                )
                self._tasks.append(asyncio.ensure_future(client.run()))
        # Draws of their own, so that the plan of faults is that of the seed alone.
        deadly = Client(
            "deadly",
            world.places[0],
            checks,
            Random(self._seed),
            lambda: 1,
            world.keys,
        )
        for work in (
            deadly.run_deadly(world.places),
            world.revive_workers(),
            world.restore_store(Random(self._seed + 1)),
            world.rotate_keys(Random(self._seed + 2)),
            self._watch(world, checks),
        ):
            self._tasks.append(asyncio.ensure_future(work))

    async def _strike(self, world: World) -> None:
        pause = self._settings.pause
        while world.now() < self._settings.seconds:
            await asyncio.sleep(self._random.uniform(0.2 * pause, 1.8 * pause))
            fault = draw_fault(world, self._random)
            self.plan.append(f"{world.now():7.2f} s  {fault}")
            task = asyncio.ensure_future(self._play(fault))
            self._faults.add(task)
            task.add_done_callback(self._faults.discard)
        await asyncio.gather(*self._faults)

    async def _play(self, fault: Fault) -> None:
        async with asyncio.timeout(_WAIT_LIMIT_S):
            await fault.strike()

    async def _settle(self, world: World, checks: Checks) -> None:
        for place in world.places:
            try:
                await wait_until(place.is_ready)
            except TimeoutError:
                checks.find("recovery", world.now(), f"{place.name} is not ready")
        await self._check_in_force(world, checks)
        if not self._settings.judge_times:
            return
        await asyncio.sleep(_SETTLE)
        since = world.now()
        await asyncio.sleep(_CALM)
        checks.check_recovery(since)

    async def _check_in_force(self, world: World, checks: Checks) -> None:
        """A change comes into force although the store has forgotten all watches.

        No other change follows that would wake the nodes, and what a watch may
        last is longer than anybody waits here.
        """
        await StoreForgets(world, Random(self._random.getrandbits(64))).strike()
        await world.change_configuration()
        changed_at = world.now()
        for place in world.places:
            try:
                await wait_until(lambda place=place: _is_in_force(place, world.version))
            except TimeoutError:
                text = f"{place.name} does not hold version {world.version}"
                checks.find("configuration", world.now(), text)
        took = world.now() - changed_at
        if self._settings.judge_times and took > _IN_FORCE:
            text = f"version {world.version} was in force after {took:.2f} s"
            checks.find("configuration", world.now(), text)

    async def _watch(self, world: World, checks: Checks) -> None:
        ended: set[int] = set()
        while True:
            await asyncio.sleep(_REVIEW)
            checks.review()
            for place in world.places:
                status = place.ended_by_itself
                if status is not None and place.pid not in ended:
                    ended.add(place.pid)
                    text = f"{place.name} ended by itself with {status}"
                    checks.find("process", world.now(), text)


async def _is_in_force(place: Place, version: int) -> bool:
    return logged_version(place.log) == version
