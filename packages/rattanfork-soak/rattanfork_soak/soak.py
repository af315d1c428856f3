"""One soak run: node processes under load, and a sequence of faults from a seed."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from random import Random

from rattanfork_adapter.tests.fleet import logged_version, wait_until

from rattanfork_soak.checks import Checks
from rattanfork_soak.client import Client
from rattanfork_soak.environment import ROUTE_TIMEOUT_S, Environment
from rattanfork_soak.faults import (
    Fault,
    RestartsUnderFailure,
    SecondResponses,
    StoreDropsWatches,
    draw_fault,
)
from rattanfork_soak.site import MEMORY_LIMIT_MB, Site
from rattanfork_soak.stalling_clients import StallingClients
from rattanfork_soak.violation import Violation

#: Interval between checks of what arrived at workers and whether nodes exited.
_REVIEW_INTERVAL_S = 0.2
#: Time after the last fault within which service must have recovered.
_RECOVERY_S = 4.0
#: Time over which requests are then counted.
_OBSERVATION_S = 3.0
#: A change must be in force within 2 s; a store that was silent may take 3 s more
#: until it is stable.
_CONFIGURATION_LIMIT_S = 2.0 + 3.0
#: Faults take seconds and a node starts in about 1 s; a longer fault hangs.
_FAULT_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """Size and duration of a soak.

    Parameters
    ==========

    seconds : float
        Seconds during which faults start.
    nodes : int
        Number of nodes, each with a worker.
    clients : int
        Number of clients of each node.
    fault_interval : float
        Mean seconds between the starts of two faults.
    judge_times : bool
        Whether late responses and slow recovery are violations; off on a shared
        machine, where its load would decide the result.
    """

    seconds: float = 20.0
    nodes: int = 4
    clients: int = 3
    fault_interval: float = 0.8
    check_times: bool = True


class Soak:
    """One soak run.

    Parameters
    ==========

    seed : int
        Seeds the faults and the behaviour of clients and workers.
    settings : SoakSettings
        Size and duration.
    folder : Path
        Directory for settings and logs of the nodes.
    """

    def __init__(self, seed: int, settings: SoakSettings, folder: Path) -> None:
        self._settings = settings
        self._seed = seed
        self._random = Random(seed)
        self._folder = folder
        self._tasks: list[asyncio.Task] = []
        self._faults: set[asyncio.Task] = set()
        #: One line per injected fault, with its start time.
        self.plan: list[str] = []
        self.requests = 0

    async def run(self) -> list[Violation]:
        """Run the soak; return the violations."""
        environment = Environment(self._folder, self._settings.nodes, self._random)
        timeout = ROUTE_TIMEOUT_S if self._settings.check_times else None
        workers = [site.worker for site in environment.sites]
        checks = Checks(workers, timeout, environment.keys, environment.is_forgotten)
        try:
            await environment.start()
            self._start_tasks(environment, checks)
            await self._inject_faults(environment)
            await self._check_after_faults(environment, checks)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await environment.stop()
        checks.review()
        checks.check_deadly()
        checks.check_retries()
        self.requests = sum(1 for _ in checks.records)
        return checks.violations

    def _start_tasks(self, environment: Environment, checks: Checks) -> None:
        for site in environment.sites:
            for number in range(self._settings.clients):
                client = Client(
                    f"{site.name}c{number}",
                    site,
                    checks,
                    Random(self._random.getrandbits(64)),
                    lambda: environment.version,
                    environment.keys,
                )
                self._tasks.append(asyncio.ensure_future(client.run()))
        # Separate generators, so that these tasks do not change the fault plan.
        deadly = Client(
            "deadly",
            environment.sites[0],
            checks,
            Random(self._seed),
            lambda: 1,
            environment.keys,
        )
        for coroutine in (
            deadly.run_deadly(environment.sites),
            environment.restart_crashed_workers(),
            environment.restore_store(Random(self._seed + 1)),
            environment.rotate_keys(Random(self._seed + 2)),
            environment.advertise_limits(Random(self._seed + 3)),
            environment.state_leaving(Random(self._seed + 4)),
            environment.kill_after_leaving(
                Random(self._seed + 6), self._settings.seconds
            ),
            StallingClients(environment.sites, Random(self._seed + 8)).run(),
            self._review_forever(environment, checks),
        ):
            self._tasks.append(asyncio.ensure_future(coroutine))

    async def _inject_faults(self, environment: Environment) -> None:
        fault_interval = self._settings.fault_interval
        # Separate generators, so that these faults do not change the plan of others.
        for fault in (
            RestartsUnderFailure(environment, Random(self._seed + 5)),
            SecondResponses(environment, Random(self._seed + 7)),
        ):
            self.plan.append(f"{environment.now():7.2f} s  {fault}")
            self._start_fault(fault)
        while environment.now() < self._settings.seconds:
            await asyncio.sleep(
                self._random.uniform(0.2 * fault_interval, 1.8 * fault_interval)
            )
            fault = draw_fault(environment, self._random)
            self.plan.append(f"{environment.now():7.2f} s  {fault}")
            self._start_fault(fault)
        await asyncio.gather(*self._faults)

    def _start_fault(self, fault: Fault) -> None:
        task = asyncio.ensure_future(self._run_fault(fault))
        self._faults.add(task)
        task.add_done_callback(self._faults.discard)

    async def _run_fault(self, fault: Fault) -> None:
        async with asyncio.timeout(_FAULT_TIMEOUT_S):
            await fault.inject()

    async def _check_after_faults(
        self, environment: Environment, checks: Checks
    ) -> None:
        for site in environment.sites:
            try:
                await wait_until(site.is_ready)
            except TimeoutError:
                checks.add_violation(
                    "recovery", environment.now(), f"{site.name} is not ready"
                )
        await self._check_in_force(environment, checks)
        if not self._settings.check_times:
            return
        await asyncio.sleep(_RECOVERY_S)
        since = environment.now()
        await asyncio.sleep(_OBSERVATION_S)
        checks.check_recovery(since)

    async def _check_in_force(self, environment: Environment, checks: Checks) -> None:
        """Check that a change comes into force after the store dropped all watches.

        No later change wakes the nodes, and watches time out only after this check,
        so nodes must notice by polling.
        """
        await StoreDropsWatches(
            environment, Random(self._random.getrandbits(64))
        ).inject()
        await environment.change_configuration()
        changed_at = environment.now()
        for site in environment.sites:
            try:
                await wait_until(
                    lambda site=site: _is_in_force(site, environment.version)
                )
            except TimeoutError:
                text = f"{site.name} does not hold version {environment.version}"
                checks.add_violation("configuration", environment.now(), text)
        elapsed = environment.now() - changed_at
        if self._settings.check_times and elapsed > _CONFIGURATION_LIMIT_S:
            text = f"version {environment.version} was in force after {elapsed:.2f} s"
            checks.add_violation("configuration", environment.now(), text)

    async def _review_forever(self, environment: Environment, checks: Checks) -> None:
        #: Processes with a violation that is reported once.
        reported: set[int] = set()
        while True:
            await asyncio.sleep(_REVIEW_INTERVAL_S)
            checks.review()
            for site in environment.sites:
                status = site.unexpected_exit_status
                if status is not None and site.pid not in reported:
                    reported.add(site.pid)
                    text = f"{site.name} exited unexpectedly with status {status}"
                    checks.add_violation("process", environment.now(), text)
                peak = site.peak_memory_mb
                if peak > MEMORY_LIMIT_MB and site.pid not in reported:
                    reported.add(site.pid)
                    text = f"{site.name} used {peak:.0f} MB of {MEMORY_LIMIT_MB}"
                    checks.add_violation("memory", environment.now(), text)


async def _is_in_force(site: Site, version: int) -> bool:
    return logged_version(site.log) == version
