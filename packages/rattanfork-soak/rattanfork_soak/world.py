"""What a soak runs: a store, workers, and a node beside each."""

import asyncio
from pathlib import Path
from random import Random
from time import monotonic

from rattanfork_adapter.tests.fakes import FakeStore
from rattanfork_adapter.tests.fleet import encode_configuration, route, wait_until
from rattanfork_testkit import FreePorts

from rattanfork_soak.keys import ACCOUNT_NAME, KeyRing
from rattanfork_soak.place import Place
from rattanfork_soak.worker import SoakWorker

#: Seconds after which a worker that a request has ended is back, and between two looks.
_REVIVED_AFTER = 1.0
_REVIVE_LOOK = 0.1
#: Seconds between two times that the store comes back from an older copy, and after
#: which the operator has written again what it lost; writes that a copy lacks at most.
_RESTORE_PAUSE = (3.0, 9.0)
_WRITTEN_AGAIN_AFTER = (0.05, 1.0)
_MOST_WRITES_LOST = 8
#: Seconds between two new keys, and until the one before is taken away.
_KEY_PAUSE = (1.0, 4.0)
_KEY_OVERLAP = (0.2, 2.0)
#: Seconds that a route gives its requests.
TIMEOUT = 2.0


class World:
    """A store, workers, and a node beside each.

    Parameters
    ==========

    folder : Path
        Where settings and logs go.
    count : int
        Nodes.
    random : Random
        Source of what workers do.
    """

    def __init__(self, folder: Path, count: int, random: Random) -> None:
        self.store = FakeStore()
        self.version = 0
        self.restores = 0
        self._began = monotonic()
        self.keys = KeyRing(self.now)
        self._folder = folder
        self._ports = FreePorts()
        self.places = [
            Place(
                f"n{number}",
                SoakWorker(f"i{number}", Random(random.getrandbits(64)), self.now),
                self.now,
            )
            for number in range(count)
        ]
        self._node_locks = {place.name: asyncio.Lock() for place in self.places}
        self._worker_locks = {place.name: asyncio.Lock() for place in self.places}

    def now(self) -> float:
        """Return seconds from the start."""
        return monotonic() - self._began

    def node_lock(self, place: Place) -> asyncio.Lock:
        """Return the lock of what starts and stops a node."""
        return self._node_locks[place.name]

    def worker_lock(self, place: Place) -> asyncio.Lock:
        """Return the lock of what starts and stops a worker."""
        return self._worker_locks[place.name]

    async def start(self) -> None:
        """Start all, and wait until every node is ready."""
        await self.store.start()
        await self.change_configuration()
        for place in self.places:
            await place.start(self.store.address, self._folder, self._ports)
        for place in self.places:
            await wait_until(place.is_ready)

    async def stop(self) -> None:
        """End all that was started."""
        for place in self.places:
            await place.stop()
        self.store.stop()

    async def revive_workers(self) -> None:
        """Start workers again that a request has ended, until cancelled."""
        while True:
            await asyncio.sleep(_REVIVE_LOOK)
            for place in self.places:
                if self.worker_lock(place).locked():
                    continue
                async with self.worker_lock(place):
                    died = place.worker.died_at
                    if died is not None and self.now() - died > _REVIVED_AFTER:
                        await place.worker.start()
                        place.disturb()

    async def restore_store(self, random: Random) -> None:
        """Let the store come back from an older copy again and again, until cancelled.

        What the operator has written since is written again a moment later.
        """
        while True:
            await asyncio.sleep(random.uniform(*_RESTORE_PAUSE))
            self.store.restore(random.randint(1, _MOST_WRITES_LOST))
            self.restores += 1
            await asyncio.sleep(random.uniform(*_WRITTEN_AGAIN_AFTER))
            await self.store.put("op", "config", self._configuration())

    async def rotate_keys(self, random: Random) -> None:
        """Add keys and take them away again, until cancelled."""
        while True:
            await asyncio.sleep(random.uniform(*_KEY_PAUSE))
            self.keys.add()
            await self.change_configuration()
            await asyncio.sleep(random.uniform(*_KEY_OVERLAP))
            await self.change_configuration(self.keys.in_force[1:])
            self.keys.take_away()

    async def change_configuration(self, keys: list[str] | None = None) -> None:
        """Write the next version, as the operator does; with other keys, if given."""
        self.version += 1
        document = self._configuration(keys)
        await self.store.put("op", "config", document)

    def _configuration(self, keys: list[str] | None = None) -> str:
        routes = {
            "read": route("/a/", "idempotent", TIMEOUT, priority=2),
            "post": route("/p/", "non_idempotent", TIMEOUT),
        }
        for version in range(1, self.version + 1):
            name = f"v{version}"
            routes[name] = route(f"/{name}/", "idempotent", TIMEOUT, priority=2)
        held = self.keys.in_force if keys is None else keys
        accounts = {ACCOUNT_NAME: {"apiKeys": held}}
        return encode_configuration(self.version, routes, accounts)
