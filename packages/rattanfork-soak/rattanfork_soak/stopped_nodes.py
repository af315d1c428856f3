"""A fleet under planned work: stops, reloads, configurations; finds lost requests."""

import asyncio
import signal
import sys
from pathlib import Path
from random import Random
from time import monotonic

from rattanfork_adapter.tests.fakes import FakeStore
from rattanfork_adapter.tests.fleet import (
    NodeProcess,
    encode_configuration,
    route,
    wait_until,
)
from rattanfork_testkit import FreePorts

from rattanfork_soak.calling_worker import CallingWorker, work_path
from rattanfork_soak.exchange_record import ExchangeRecord, WorkerRun
from rattanfork_soak.kept_clients import (
    CLIENT_KINDS,
    IDLE_TIMEOUT_S,
    TIMEOUT_S,
    HalfClosingClient,
    LongRunClient,
)
from rattanfork_soak.stop_report import StopReport
from rattanfork_soak.stop_site import StopSettings, StopSite

_SERVICES = ("s1", "s2", "s3")
#: Time for which a stopped process may run beyond its grace period in this report.
_EXIT_SLACK_S = 0.5
_STALL_POLL_S = 0.05
#: Time for which all nodes serve before the first planned work, and after the last.
_CALM_S = 1.0
#: Time for which a retired worker serves after the acknowledgement.
_DRAIN_TIME_S = 2.4


class StoppedNodes:
    """One run.

    Parameters
    ==========

    seed : int
        Seeds planned work, clients and workers.
    settings : StopSettings
        Size and kind.
    folder : Path
        Directory for settings and logs of the nodes.
    """

    def __init__(self, seed: int, settings: StopSettings, folder: Path) -> None:
        self._random = Random(seed)
        self._settings = settings
        self._folder = folder
        self._began_at = monotonic()
        self._store = FakeStore()
        self._ports = FreePorts()
        self._sites: list[StopSite] = []
        self._records: list[ExchangeRecord] = []
        self._runs: dict[str, list[WorkerRun]] = {}
        self._tasks: list[asyncio.Task] = []
        self._works: list[asyncio.Task] = []
        self._busy: list[asyncio.subprocess.Process] = []
        self._version = 0
        self._over_at = 0.0
        #: One line per event, with its time.
        self.plan: list[str] = []
        self.report = StopReport()
        self.stops = 0
        #: Longest time for which this process itself was not scheduled.
        self.longest_stall = 0.0

    @property
    def requests(self) -> int:
        """Number of requests of all clients and workers."""
        return len(self._records)

    async def run(self) -> list[str]:
        """Run; return one line for each violation."""
        try:
            await self._start()
            await asyncio.sleep(_CALM_S)
            await self._do_planned_work()
            await asyncio.sleep(_CALM_S)
        finally:
            self._over_at = self.now()
            await self._stop()
        works = {site.node.name: site.work for site in self._sites}
        self.report.check(self._records, self._runs, works, self._over_at)
        return self.report.violations

    def now(self) -> float:
        """Return seconds since the start of the run."""
        return monotonic() - self._began_at

    async def _start(self) -> None:
        await self._store.start()
        await self.change_configuration()
        for number in range(self._settings.nodes_per_service * len(_SERVICES)):
            await self._add_site(number)
        for site in self._sites:
            await site.node.spawn()
        for site in self._sites:
            await wait_until(site.node.is_ready)
        await asyncio.sleep(_CALM_S)
        for site in self._sites:
            self._start_clients(site)
        self._tasks.append(asyncio.ensure_future(self._watch_stalls()))
        for _ in range(self._settings.busy_processes):
            self._busy.append(
                await asyncio.create_subprocess_exec(
                    sys.executable, "-c", "while True: pass"
                )
            )

    async def _watch_stalls(self) -> None:
        while True:
            at = self.now()
            await asyncio.sleep(_STALL_POLL_S)
            self.longest_stall = max(
                self.longest_stall, self.now() - at - _STALL_POLL_S
            )

    async def _add_site(self, number: int) -> None:
        service = _SERVICES[number % len(_SERVICES)]
        random = Random(self._random.getrandbits(64))
        worker = CallingWorker(f"i{number}", random, self.now, service, self._runs)
        worker.address = ("127.0.0.1", self._ports.reserve())
        grace = self._settings.grace
        node = NodeProcess(
            f"n{number}",
            worker,
            self._store,
            self._folder,
            self._ports,
            [f"graceS={grace}"],
        )
        site = StopSite(node, worker, grace)
        self._sites.append(site)

        async def announce(state: str) -> int | None:
            return await node.announce(state, self._settings.slots)

        worker.announce, worker.deregister = announce, node.deregister
        called = _SERVICES[(number + 1) % len(_SERVICES)]

        async def call(request_id: str, depth: int, left_ms: int) -> bool:
            return await self._call(site, called, request_id, depth, left_ms)

        worker.call = call
        await worker.start()

    def _start_clients(self, site: StopSite) -> None:
        kinds = dict(CLIENT_KINDS)
        if self._settings.half_closing:
            kinds[HalfClosingClient] = 1
        if self._settings.late_calls:
            kinds[LongRunClient] = 1
        for kind, count in kinds.items():
            for number in range(count):
                client = kind(
                    f"{site.node.name}{kind.__name__}{number}",
                    site.node.name,
                    site.address,
                    _SERVICES,
                    self.now,
                    self._records.append,
                    Random(self._random.getrandbits(64)),
                )
                self._tasks.append(asyncio.ensure_future(client.run()))

    async def _call(
        self, site: StopSite, service: str, request_id: str, depth: int, left_ms: int
    ) -> bool:
        """Make a call through a site's node; return whether it succeeded."""
        limit = min(left_ms / 1000, TIMEOUT_S)
        is_post = self._settings.late_calls and len(self._records) % 2 > 0
        record = ExchangeRecord(
            request_id, site.node.name, "WorkerCall", not is_post, 200, limit
        )
        self._records.append(record)
        path = work_path(service, "post" if is_post else "get", 10, 200, depth)
        return await site.call(path, record, left_ms, self.now)

    async def change_configuration(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        routes = {}
        for service in _SERVICES:
            for kind, name in (
                ("idempotent", "get"),
                ("non_idempotent", "post"),
                ("upload", "upload"),
            ):
                prefix = f"/{service}-{name}/"
                routes[prefix[1:-1]] = {
                    **route(prefix, kind, TIMEOUT_S),
                    "service": service,
                }
        routes["version"] = route(f"/v{self._version}/", "idempotent", TIMEOUT_S)
        document = encode_configuration(
            self._version,
            routes,
            limits={"idleTimeoutS": IDLE_TIMEOUT_S, "maxBodyBytes": 8 << 20},
            services=_SERVICES,
        )
        await self._store.put("op", "config", document)

    async def _do_planned_work(self) -> None:
        names = self._settings.events or tuple(EVENTS)
        interval = self._settings.interval
        until = self.now() + self._settings.seconds
        while self.now() < until:
            await asyncio.sleep(self._random.uniform(0.2, 1.8) * interval)
            name = self._random.choice(names)
            random = Random(self._random.getrandbits(64))
            self.plan.append(f"{self.now():7.3f} s  {name}")
            self._works.append(asyncio.ensure_future(EVENTS[name](self, random)))
        await asyncio.gather(*self._works)

    def _free_sites(self, random: Random, count: int) -> list[StopSite]:
        free = [site for site in self._sites if not site.lock.locked()]
        # Half of the fleet keeps running.
        allowed = max(0, len(free) - len(self._sites) // 2)
        return random.sample(free, min(count, allowed))

    def _terminate(self, site: StopSite) -> None:
        self.stops += 1
        site.work.stops.append(self.now())
        self.plan.append(f"{self.now():7.3f} s    SIGTERM {site.node.name}")
        site.signal(signal.SIGTERM)

    async def _await_exit(self, site: StopSite) -> None:
        process = site.node.process
        try:
            async with asyncio.timeout(self._settings.grace + _EXIT_SLACK_S):
                await process.wait()
        except TimeoutError:
            self.report.violations.append(
                f"{self.now():7.3f} s  {site.node.name} stays"
            )
            self.report.summary["stays"] += 1
            process.kill()
            await process.wait()
        at, name = self.now(), site.node.name
        self.plan.append(f"{at:7.3f} s    {name} exits with {process.returncode}")

    async def _stop_and_start(self, site: StopSite) -> None:
        async with site.lock:
            self._terminate(site)
            await self._await_exit(site)
            await site.node.spawn()
            await wait_until(site.node.is_ready)

    async def stop_one(self, random: Random) -> None:
        """Stop a node and start it again."""
        for site in self._free_sites(random, 1):
            await self._stop_and_start(site)

    async def stop_two(self, random: Random) -> None:
        """Stop two nodes at once."""
        await asyncio.gather(*map(self._stop_and_start, self._free_sites(random, 2)))

    async def stop_service(self, random: Random) -> None:
        """Stop all nodes of a service, one after the other."""
        service = random.choice(_SERVICES)
        for site in self._sites:
            if site.worker.service == service and not site.lock.locked():
                await self._stop_and_start(site)

    async def stop_twice(self, random: Random) -> None:
        """Send SIGTERM a second time 0.3 s later."""
        for site in self._free_sites(random, 1):
            async with site.lock:
                self._terminate(site)
                await asyncio.sleep(0.3)
                site.signal(signal.SIGTERM)
                await self._await_exit(site)
                await site.node.spawn()
                await wait_until(site.node.is_ready)

    async def stop_early(self, random: Random) -> None:
        """Stop a node soon after its start."""
        for site in self._free_sites(random, 1):
            async with site.lock:
                self._terminate(site)
                await self._await_exit(site)
                await site.node.spawn()
                await asyncio.sleep(random.uniform(0.05, 0.9))
                self._terminate(site)
                await self._await_exit(site)
                await site.node.spawn()
                await wait_until(site.node.is_ready)

    async def stop_stalled(self, random: Random) -> None:
        """Suspend a node for 0.3 s, and stop it as it resumes."""
        for site in self._free_sites(random, 1):
            async with site.lock:
                site.work.stalled_stops.append(self.now())
                site.signal(signal.SIGSTOP)
                await asyncio.sleep(0.3)
                self._terminate(site)
                site.signal(signal.SIGCONT)
                await self._await_exit(site)
                await site.node.spawn()
                await wait_until(site.node.is_ready)

    async def restart_all(self, random: Random) -> None:
        """Stop all nodes and the store, and start them at the same time."""
        free = [site for site in self._sites if not site.lock.locked()]
        for site in free:
            await site.lock.acquire()
        try:
            for site in free:
                self._terminate(site)
            await asyncio.gather(*map(self._await_exit, free))
            self._store.fault = "reset"
            self._store.abort_watches()
            for site in free:
                await site.node.spawn()
            await asyncio.sleep(random.uniform(0.2, 0.8))
            self._store.fault = ""
            for site in free:
                await wait_until(site.node.is_ready)
        finally:
            for site in free:
                site.lock.release()

    async def reload(self, random: Random) -> None:
        """Send SIGHUP to a node that is ready."""
        for site in self._free_sites(random, 1):
            if await site.node.is_ready():
                site.work.reloads.append(self.now())
                site.signal(signal.SIGHUP)

    async def reload_while_stopping(self, random: Random) -> None:
        """Stop a node, and send it SIGHUP and a configuration meanwhile."""
        for site in self._free_sites(random, 1):
            stop = asyncio.ensure_future(self._stop_and_start(site))
            await asyncio.sleep(random.uniform(0.0, 1.5))
            site.signal(signal.SIGHUP)
            await self.change_configuration()
            await stop

    async def configure(self, random: Random) -> None:
        """Write a new version of the configuration."""
        await self.change_configuration()

    async def change_settings(self, random: Random) -> None:
        """Change the settings file of a node without a signal."""
        site = random.choice(self._sites)
        text = site.node.path.read_text()
        site.node.path.write_text(text + f"\n# {self.now():.3f}\n")

    async def silence_store(self, random: Random) -> None:
        """Let the store not respond for a while."""
        self._store.fault = random.choice(("silent", "reset", "busy"))
        await asyncio.sleep(random.uniform(0.5, 3.0))
        self._store.fault = ""

    async def retire_worker(self, random: Random) -> None:
        """Retire a worker, then stop its node while last responses are read."""
        for site in self._free_sites(random, 1):
            async with site.lock:
                worker, name = site.worker, site.worker.name
                self.plan.append(f"{self.now():7.3f} s    {name} leaves")
                await worker.leave()
                await asyncio.sleep(_DRAIN_TIME_S)
                async with asyncio.timeout(TIMEOUT_S):
                    while worker.at_work:
                        await asyncio.sleep(0.01)
                self.plan.append(f"{self.now():7.3f} s    {name} ends")
                worker.retire()
                self._terminate(site)
                await self._await_exit(site)
                await site.node.spawn()
                await worker.start()
                await wait_until(site.node.is_ready)

    async def _stop(self) -> None:
        for task in [*self._tasks, *self._works]:
            task.cancel()
        results = await asyncio.gather(
            *self._tasks, *self._works, return_exceptions=True
        )
        for result in results:
            if isinstance(result, Exception):
                self.report.violations.append(
                    f"a client or an event failed: {result!r}"
                )
                self.report.summary["a client or an event failed"] += 1
        for process in self._busy:
            process.kill()
            await process.wait()
        for site in self._sites:
            process = site.node.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
            await site.close_calls()
            site.worker.crash()
        self._store.stop()


#: Planned work by name.
EVENTS = {
    "stop": StoppedNodes.stop_one,
    "stop-two": StoppedNodes.stop_two,
    "stop-service": StoppedNodes.stop_service,
    "stop-twice": StoppedNodes.stop_twice,
    "stop-early": StoppedNodes.stop_early,
    "stop-stalled": StoppedNodes.stop_stalled,
    "restart-all": StoppedNodes.restart_all,
    "reload": StoppedNodes.reload,
    "reload-while-stopping": StoppedNodes.reload_while_stopping,
    "configure": StoppedNodes.configure,
    "change-settings": StoppedNodes.change_settings,
    "silence-store": StoppedNodes.silence_store,
    "retire-worker": StoppedNodes.retire_worker,
}
