"""A client that sends one request after another."""

import asyncio
from collections.abc import Callable
from random import Random

import aiohttp
from rattanfork_adapter.tests.fakes import KEY, STAMP
from rattanfork_adapter.tests.fleet import client_headers

from rattanfork_soak.checks import Checks
from rattanfork_soak.keys import KeyRing
from rattanfork_soak.place import Place
from rattanfork_soak.record import Record
from rattanfork_soak.worker import DEADLY_PATH

#: Milliseconds that a client waits: longer than a route's time, so that the node
#: has to end a request by that.
_WAIT_MS = 3000
#: Share of the requests that test which configuration is in force.
_PROBES = 0.08
#: Share that carries the key that was taken away last.
_OLD_KEYS = 0.05
#: Share that travels on a connection of its own; the rest keeps one open until
#: its process is gone.
_FRESH = 0.2


class Client:
    """Sends requests to one node and tells what became of them.

    Parameters
    ==========

    name : str
        Begins the IDs of its requests.
    place : Place
        The node and how it is.
    checks : Checks
        Told of each request.
    random : Random
        Source of choices.
    newest : callable
        Returns the newest version of the configuration.
    keys : KeyRing
        The keys of all clients.
    """

    def __init__(
        self,
        name: str,
        place: Place,
        checks: Checks,
        random: Random,
        newest: Callable[[], int],
        keys: KeyRing,
    ) -> None:
        self._name = name
        self._place = place
        self._checks = checks
        self._random = random
        self._newest = newest
        self._keys = keys
        self._count = 0

    async def run_deadly(self, places: list[Place]) -> None:
        """Send a request that ends workers again and again, at any node."""
        timeout = aiohttp.ClientTimeout(total=8.0, sock_connect=1.0)
        while True:
            await asyncio.sleep(self._random.uniform(0.1, 0.5))
            self._place = self._random.choice(places)
            record = self._record("GET", DEADLY_PATH, True)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                await self._send(session, record, "GET", DEADLY_PATH)

    async def run(self) -> None:
        """Send until cancelled."""
        timeout = aiohttp.ClientTimeout(total=8.0, sock_connect=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as kept:
            while True:
                await asyncio.sleep(self._random.uniform(0.01, 0.08))
                if self._random.random() < _PROBES:
                    await self._probe(kept)
                elif self._random.random() < _FRESH:
                    async with aiohttp.ClientSession(timeout=timeout) as fresh:
                        await self._ask(fresh)
                else:
                    await self._ask(kept)

    async def _ask(self, session: aiohttp.ClientSession) -> None:
        idempotent = self._random.random() < 0.5
        method, path = ("GET", "/a/x") if idempotent else ("POST", "/p/x")
        record = self._record(method, path, idempotent)
        await self._send(session, record, method, path)
        self._checks.on_ended(record, self._place.disturbed_since(record.sent))
        if record.status == 0:
            self._check_lost(record)

    async def _probe(self, session: aiohttp.ClientSession) -> None:
        version = self._random.randint(1, self._newest())
        path = f"/v{version}/"
        record = self._record("GET", path, True)
        await self._send(session, record, "GET", path)
        self._checks.on_probe(record.pid, version, record.status, record.ended)

    def _draw_key(self) -> str:
        # Not of this client's source, which draws what it asks for.
        old = self._count % round(1 / _OLD_KEYS) == 0
        return self._keys.last_taken if old else self._keys.current

    def _record(self, method: str, path: str, idempotent: bool) -> Record:
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        body = "" if idempotent else f"order {request_id}"
        record = Record(
            request_id,
            self._place.name,
            self._place.pid,
            f"{method} {path} {body}",
            idempotent,
            self._place.now(),
            in_touch=self._place.in_touch,
            key=self._draw_key(),
        )
        self._checks.on_sent(record)
        return record

    async def _send(
        self, session: aiohttp.ClientSession, record: Record, method: str, path: str
    ) -> None:
        headers = {**client_headers(record.request_id, _WAIT_MS), KEY: record.key}
        body = record.text.split(" ", 2)[2].encode() or None
        try:
            async with session.request(
                method, self._place.url + path, data=body, headers=headers
            ) as response:
                record.body = await response.text()
                record.status = response.status
                record.stamp = response.headers.get(STAMP, "")
        except (aiohttp.ClientError, TimeoutError) as error:
            record.status = 0
            record.error = type(error).__name__
        record.ended = self._place.now()

    def _check_lost(self, record: Record) -> None:
        """A node that was only told to stop cuts nothing off that it passed on."""
        told = self._place.told_to_stop
        if told is None or self._place.disturbed_since(record.sent - 3.0):
            return
        if record.sent < told + 3.0 and self._checks.ran(record.request_id):
            self._checks.find("lost", record.ended, f"{record}")
