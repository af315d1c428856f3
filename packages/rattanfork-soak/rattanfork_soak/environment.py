"""Everything that a soak runs: the fake store, and nodes with their workers."""

import asyncio
from pathlib import Path
from random import Random
from time import monotonic

from rattanfork_adapter.tests.fakes import FakeStore
from rattanfork_adapter.tests.fleet import encode_configuration, route, wait_until
from rattanfork_testkit import FreePorts

from rattanfork_soak.keys import ACCOUNT_NAME, KeyRing
from rattanfork_soak.site import Site
from rattanfork_soak.worker import Departure, SoakWorker

#: Time until a worker that a request crashed is restarted.
_RESTART_DELAY_S = 1.0
_RESTART_POLL_S = 0.1
#: Bounds of the time between two restores of the store from an older backup.
_RESTORE_INTERVAL_S = (3.0, 9.0)
#: Bounds of the time until the operator writes the lost configuration again.
_REWRITE_DELAY_S = (0.05, 1.0)
_MAX_LOST_WRITES = 8
#: Bounds of the time between two key rotations.
_KEY_ROTATION_INTERVAL_S = (1.0, 4.0)
#: Bounds of the time for which the old and the new key are both valid.
_KEY_OVERLAP_S = (0.2, 2.0)
#: Bounds of the time between two rate limits that a worker advertises, of the time for
#: which it does, and of the limit in requests per second.
_LIMIT_INTERVAL_S = (0.5, 3.0)
_LIMIT_TIME_S = (4.0, 9.0)
_LIMIT_PER_S = (0.0, 12.0)
#: Bounds of the time between two workers that leave without an announcement, and of the
#: time for which such a worker serves after it has stated so.
_LEAVING_INTERVAL_S = (3.0, 8.0)
_LEAVING_TIME_S = (2.5, 5.0)
#: Bounds of the time between two workers whose node is killed once it has acknowledged
#: that they leave, of the time until then, of that until a late announcement, and of
#: the time for which such a worker serves.
_KILLED_LEAVING_INTERVAL_S = (0.5, 3.0)
_KILL_DELAY_S = (0.0, 0.5)
_LATENESS_S = (0.0, 2.0)
_LONG_SERVING_TIME_S = (3.0, 7.0)
#: Share of these kills that all nodes get, and of workers that hide that they leave.
_KILL_ALL_SHARE = 0.3
_HIDING_SHARE = 0.5
#: Timeout of requests, in the configuration of each route.
ROUTE_TIMEOUT_S = 2.0


class Environment:
    """The fake store, and sites with a node and a worker each.

    Parameters
    ==========

    folder : Path
        Directory for settings and logs of the nodes.
    count : int
        Number of nodes.
    random : Random
        Source of the seeds of workers.
    restart_delay : float
        Seconds until a worker that a request crashed is restarted.
    """

    def __init__(
        self,
        folder: Path,
        count: int,
        random: Random,
        restart_delay: float = _RESTART_DELAY_S,
    ) -> None:
        self.store = FakeStore()
        self.version = 0
        #: When the store was restored from an older backup, in seconds of the soak.
        self.restored_at: list[float] = []
        self._started_at = monotonic()
        self._restart_delay = restart_delay
        self.keys = KeyRing(self.now)
        self._folder = folder
        self._ports = FreePorts()
        self.sites = [
            Site(
                f"n{number}",
                SoakWorker(f"i{number}", Random(random.getrandbits(64)), self.now),
                self.now,
            )
            for number in range(count)
        ]
        self._node_locks = {site.name: asyncio.Lock() for site in self.sites}
        self._worker_locks = {site.name: asyncio.Lock() for site in self.sites}

    def now(self) -> float:
        """Return seconds since the start of the soak."""
        return monotonic() - self._started_at

    def is_forgotten(self, acknowledged_at: float) -> bool:
        """Return whether nothing can remember what was acknowledged at a time.

        A backup without it was restored, and no node runs that ran at the time.
        """
        restored = any(at >= acknowledged_at for at in self.restored_at)
        return restored and all(
            site.started_at > acknowledged_at for site in self.sites
        )

    def node_lock(self, site: Site) -> asyncio.Lock:
        """Return the lock to hold while a node is stopped and started."""
        return self._node_locks[site.name]

    def worker_lock(self, site: Site) -> asyncio.Lock:
        """Return the lock to hold while a worker is stopped and started."""
        return self._worker_locks[site.name]

    async def start(self) -> None:
        """Start the store and all sites, and wait until every node is ready."""
        await self.store.start()
        await self.change_configuration()
        for site in self.sites:
            await site.start(self.store.address, self._folder, self._ports)
        for site in self.sites:
            await wait_until(site.is_ready)

    async def stop(self) -> None:
        """Stop all sites and the store."""
        for site in self.sites:
            await site.stop()
        self.store.stop()

    async def restart_crashed_workers(self) -> None:
        """Restart workers that a deadly request crashed, until cancelled."""
        while True:
            await asyncio.sleep(_RESTART_POLL_S)
            for site in self.sites:
                if self.worker_lock(site).locked():
                    continue
                async with self.worker_lock(site):
                    crashed_at = site.worker.crashed_at
                    if (
                        crashed_at is not None
                        and self.now() - crashed_at > self._restart_delay
                    ):
                        await site.worker.start()
                        site.record_disturbance()

    async def restore_store(self, random: Random) -> None:
        """Restore the store from older backups repeatedly, until cancelled.

        After each restore the operator writes the newest configuration again.
        """
        while True:
            await asyncio.sleep(random.uniform(*_RESTORE_INTERVAL_S))
            self.store.restore(random.randint(1, _MAX_LOST_WRITES))
            self.restored_at.append(self.now())
            await asyncio.sleep(random.uniform(*_REWRITE_DELAY_S))
            await self.store.put("op", "config", self._configuration())

    async def rotate_keys(self, random: Random) -> None:
        """Add a key and revoke the oldest one repeatedly, until cancelled."""
        while True:
            await asyncio.sleep(random.uniform(*_KEY_ROTATION_INTERVAL_S))
            self.keys.add()
            await self.change_configuration()
            await asyncio.sleep(random.uniform(*_KEY_OVERLAP_S))
            await self.change_configuration(self.keys.valid[1:])
            self.keys.revoke_oldest()

    async def advertise_limits(self, random: Random) -> None:
        """Let one worker after the other advertise a rate limit, until cancelled."""
        while True:
            await asyncio.sleep(random.uniform(*_LIMIT_INTERVAL_S))
            site = random.choice(self.sites)
            if site.worker.advertised is not None:
                continue
            site.worker.advertise(round(random.uniform(*_LIMIT_PER_S), 1))
            await asyncio.sleep(random.uniform(*_LIMIT_TIME_S))
            if (
                site.worker.advertised is not None
                and not site.worker.advertised.leaving
            ):
                site.worker.stop_advertising()

    async def state_leaving(self, random: Random) -> None:
        """Let workers leave that state so only in their responses, until cancelled."""
        while True:
            await asyncio.sleep(random.uniform(*_LEAVING_INTERVAL_S))
            site = random.choice(self.sites)
            serving_time = random.uniform(*_LEAVING_TIME_S)
            if self.worker_lock(site).locked():
                continue
            async with self.worker_lock(site):
                site.worker.advertise(None, leaving=True)
                await asyncio.sleep(serving_time)
                site.record_disturbance()
                site.worker.crash()
                await site.worker.start()

    async def kill_after_leaving(self, random: Random, until: float) -> None:
        """Kill nodes that have acknowledged that their worker leaves, until a time.

        The worker goes on serving, may respond as healthy, and an announcement as ready
        that it sent before arrives late.
        """
        while self.now() < until:
            await asyncio.sleep(random.uniform(*_KILLED_LEAVING_INTERVAL_S))
            site = random.choice(self.sites)
            departure = random.choice(list(Departure))
            hides = random.random() < _HIDING_SHARE
            all_killed = random.random() < _KILL_ALL_SHARE
            kill_delay = random.uniform(*_KILL_DELAY_S)
            lateness = random.uniform(*_LATENESS_S)
            serving_time = random.uniform(*_LONG_SERVING_TIME_S)
            if self.worker_lock(site).locked():
                continue
            async with self.worker_lock(site):
                site.worker.hides_leaving = hides
                await site.worker.leave(departure)
                await asyncio.sleep(kill_delay)
                await self._kill_nodes(self.sites if all_killed else [site])
                await asyncio.sleep(lateness)
                await site.announce_late()
                await asyncio.sleep(serving_time)
                site.record_disturbance()
                site.worker.crash()
                await site.worker.start()

    async def _kill_nodes(self, sites: list[Site]) -> None:
        """Kill and restart those of some nodes that no fault has locked."""
        free = [site for site in sites if not self.node_lock(site).locked()]
        await asyncio.gather(*map(self.kill_and_restart, free))

    async def kill_and_restart(self, site: Site, down_time: float = 0.0) -> None:
        """Kill a node and start it again."""
        async with self.node_lock(site):
            site.kill()
            await asyncio.sleep(down_time)
            await site.restart()
            site.record_disturbance()

    async def change_configuration(self, keys: list[str] | None = None) -> None:
        """Write the next version of the configuration, with ``keys`` if given."""
        self.version += 1
        document = self._configuration(keys)
        await self.store.put("op", "config", document)

    def _configuration(self, keys: list[str] | None = None) -> str:
        routes = {
            "read": route("/a/", "idempotent", ROUTE_TIMEOUT_S, priority=2),
            "post": route("/p/", "non_idempotent", ROUTE_TIMEOUT_S),
        }
        for version in range(1, self.version + 1):
            name = f"v{version}"
            routes[name] = route(f"/{name}/", "idempotent", ROUTE_TIMEOUT_S, priority=2)
        valid_keys = self.keys.valid if keys is None else keys
        accounts = {ACCOUNT_NAME: {"apiKeys": valid_keys}}
        return encode_configuration(self.version, routes, accounts)
