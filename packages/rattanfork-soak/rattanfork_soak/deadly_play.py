"""A request that crashes workers, sent again and again beside other requests."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from random import Random

import aiohttp
from rattanfork_adapter.tests.fakes import KEY
from rattanfork_adapter.tests.fleet import client_headers

from rattanfork_soak.environment import Environment
from rattanfork_soak.site import Site
from rattanfork_soak.worker import DEADLY_PATH, DEADLY_POST_PATH

_NODES = 9
#: Time between two deadly requests, each at a node drawn at random.
_INTERVAL_S = 0.4
#: Time until a crashed worker is back.
_RESTART_DELAY_S = 4.0
#: Bounds of the time between two other requests of one client.
_PAUSE_S = (0.02, 0.1)
#: Time for which only the other requests are sent at first.
_WARM_UP_S = 2.0
_DEADLINE_MS = 3000
_CLIENT_TIMEOUT = aiohttp.ClientTimeout(total=8.0)


@dataclass(frozen=True, slots=True)
class DeadlyResult:
    """What workers and clients saw.

    Parameters
    ==========

    crashes : list of float
        When a worker began to run the deadly request, in seconds from the first one.
    served : int
        Other requests that were served while deadly ones were sent.
    sent : int
        All other requests in that time.
    """

    crashes: list[float]
    served: int
    sent: int


class DeadlyPlay:
    """Sends one deadly request with a new ID at random nodes for a while.

    Parameters
    ==========

    seed : int
        Seeds the choice of nodes and the other requests.
    idempotent : bool
        Whether the deadly request may run more than once.
    seconds : float
        Time for which deadly requests are sent.
    folder : Path
        Directory for settings and logs of the nodes.
    """

    def __init__(
        self, seed: int, idempotent: bool, seconds: float, folder: Path
    ) -> None:
        self._random = Random(seed)
        self._method = "GET" if idempotent else "POST"
        self._path = DEADLY_PATH if idempotent else DEADLY_POST_PATH
        self._seconds = seconds
        self._environment = Environment(
            folder, _NODES, Random(seed), restart_delay=_RESTART_DELAY_S
        )
        self._statuses: list[int] = []

    async def run(self) -> DeadlyResult:
        """Run the play and return what was seen."""
        environment = self._environment
        tasks: list[asyncio.Task] = []
        try:
            await environment.start()
            tasks.append(asyncio.ensure_future(environment.restart_crashed_workers()))
            for site in environment.sites:
                tasks.append(asyncio.ensure_future(self._send_others(site)))
            await asyncio.sleep(_WARM_UP_S)
            self._statuses.clear()
            began = environment.now()
            await self._send_deadly()
            statuses = list(self._statuses)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await environment.stop()
        crashes = sorted(
            arrival.at - began
            for site in environment.sites
            for arrival in site.worker.arrivals
            if arrival.fingerprint.split()[1] == self._path
        )
        served = sum(200 <= status < 300 for status in statuses)
        return DeadlyResult(crashes, served, len(statuses))

    async def _send_deadly(self) -> None:
        pending = []
        for number in range(round(self._seconds / _INTERVAL_S)):
            site = self._random.choice(self._environment.sites)
            request = self._send(site, f"deadly-{number}", self._method, self._path)
            pending.append(asyncio.ensure_future(request))
            await asyncio.sleep(_INTERVAL_S)
        await asyncio.gather(*pending)

    async def _send_others(self, site: Site) -> None:
        number = 0
        while True:
            await asyncio.sleep(self._random.uniform(*_PAUSE_S))
            number += 1
            name = f"{site.name}-{number}"
            idempotent = self._random.random() < 0.5
            method, path = ("GET", "/a/x") if idempotent else ("POST", "/p/x")
            self._statuses.append(await self._send(site, name, method, path))

    async def _send(self, site: Site, name: str, method: str, path: str) -> int:
        """Send a request; return its status, or 0 if there was no response."""
        headers = {
            **client_headers(name, _DEADLINE_MS),
            KEY: self._environment.keys.current,
        }
        body = f"order of {path}" if method == "POST" else None
        try:
            async with (
                aiohttp.ClientSession(timeout=_CLIENT_TIMEOUT) as session,
                session.request(
                    method, site.url + path, data=body, headers=headers
                ) as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            # The node or its connection is gone: counted as not served.
            return 0
