"""Load generator: clients that send one request after another and record it."""

import asyncio
from collections.abc import Callable
from random import Random

import aiohttp
from rattanfork_adapter.tests.fakes import KEY, STAMP
from rattanfork_adapter.tests.fleet import client_headers

from rattanfork_soak.advertising import LEAVING, LIMIT
from rattanfork_soak.checks import Checks
from rattanfork_soak.keys import KeyRing
from rattanfork_soak.record import Record
from rattanfork_soak.site import Site
from rattanfork_soak.worker import DEADLY_PATH

#: Deadline in the request's header; exceeds the timeout of routes, so that the node has
#: to end requests by the latter.
_CLIENT_DEADLINE_MS = 3000
#: Share of requests that check which configuration is in force.
_PROBE_SHARE = 0.08
#: Share of requests that carry the key that was revoked last.
_REVOKED_KEY_SHARE = 0.05
#: Share of the other requests that use a new connection each; the rest reuses one.
_NEW_CONNECTION_SHARE = 0.2


class Client:
    """Sends requests to one node and passes their outcomes to the checks.

    Parameters
    ==========

    name : str
        Prefix of the request IDs.
    site : Site
        The node, and whether faults affect it.
    checks : Checks
        Checks to pass each request to.
    random : Random
        Source of the kinds and times of requests.
    newest : callable
        Returns the newest version of the configuration that was written.
    keys : KeyRing
        The keys of all clients.
    """

    def __init__(
        self,
        name: str,
        site: Site,
        checks: Checks,
        random: Random,
        newest: Callable[[], int],
        keys: KeyRing,
    ) -> None:
        self._name = name
        self._site = site
        self._checks = checks
        self._random = random
        self._newest_version = newest
        self._keys = keys
        self._count = 0

    async def run_deadly(self, sites: list[Site]) -> None:
        """Send deadly requests to random nodes, until cancelled."""
        timeout = aiohttp.ClientTimeout(total=8.0, sock_connect=1.0)
        while True:
            await asyncio.sleep(self._random.uniform(0.1, 0.5))
            self._site = self._random.choice(sites)
            record = self._create_record("GET", DEADLY_PATH, True)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                await self._send(session, record, "GET", DEADLY_PATH)

    async def run(self) -> None:
        """Send requests until cancelled."""
        timeout = aiohttp.ClientTimeout(total=8.0, sock_connect=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as persistent:
            while True:
                await asyncio.sleep(self._random.uniform(0.01, 0.08))
                if self._random.random() < _PROBE_SHARE:
                    await self._probe(persistent)
                elif self._random.random() < _NEW_CONNECTION_SHARE:
                    async with aiohttp.ClientSession(timeout=timeout) as new:
                        await self._send_request(new)
                else:
                    await self._send_request(persistent)

    async def _send_request(self, session: aiohttp.ClientSession) -> None:
        idempotent = self._random.random() < 0.5
        method, path = ("GET", "/a/x") if idempotent else ("POST", "/p/x")
        record = self._create_record(method, path, idempotent)
        await self._send(session, record, method, path)
        self._checks.on_ended(record, self._site.disturbed_since(record.sent))
        if record.status == 0:
            self._check_dropped(record)

    async def _probe(self, session: aiohttp.ClientSession) -> None:
        version = self._random.randint(1, self._newest_version())
        path = f"/v{version}/"
        record = self._create_record("GET", path, True)
        await self._send(session, record, "GET", path)
        self._checks.on_probe(record.pid, version, record.status, record.ended)

    def _choose_key(self) -> str:
        # Does not draw from the generator, so that keys do not change the requests.
        old = self._count % round(1 / _REVOKED_KEY_SHARE) == 0
        return self._keys.last_revoked if old else self._keys.current

    def _create_record(self, method: str, path: str, idempotent: bool) -> Record:
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        body = "" if idempotent else f"order {request_id}"
        record = Record(
            request_id,
            self._site.name,
            self._site.pid,
            f"{method} {path} {body}",
            idempotent,
            self._site.now(),
            stable=self._site.stable,
            key=self._choose_key(),
            interrupted_at=self._site.interrupted_at,
        )
        self._checks.on_sent(record)
        return record

    async def _send(
        self, session: aiohttp.ClientSession, record: Record, method: str, path: str
    ) -> None:
        headers = {
            **client_headers(record.request_id, _CLIENT_DEADLINE_MS),
            KEY: record.key,
        }
        body = record.text.split(" ", 2)[2].encode() or None
        try:
            async with session.request(
                method, self._site.url + path, data=body, headers=headers
            ) as response:
                record.body = await response.text()
                record.status = response.status
                record.stamp = response.headers.get(STAMP, "")
                record.advertised = bool({LIMIT, LEAVING} & set(response.headers))
        except (aiohttp.ClientError, TimeoutError) as error:
            record.status = 0
            record.error = type(error).__name__
        record.ended = self._site.now()

    def _check_dropped(self, record: Record) -> None:
        """Check that a draining node did not abort a request that a worker ran."""
        stopped_at = self._site.stop_requested_at
        if stopped_at is None or self._site.disturbed_since(record.sent - 3.0):
            return
        if record.sent < stopped_at + 3.0 and self._checks.has_run(record.request_id):
            self._checks.add_violation("lost", record.ended, f"{record}")
