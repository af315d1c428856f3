"""Upstream that records the requests it runs and malfunctions on demand."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from aiohttp import web
from rattanfork_adapter.tests.fakes import (
    ACCOUNT,
    EXPECTED,
    INSTANCE,
    KEY,
    NOT_RUN,
    REQUEST_ID,
    STAMP,
)

from rattanfork_soak.advertising import Advertisement
from rattanfork_soak.keys import ACCOUNT_NAME
from rattanfork_soak.spoiled_responses import send_second_response, send_without_end

#: Interval of announcements.  The platform's workers use 1.5 s; a shorter one only
#: lets a restarted node learn of its worker sooner.
_HEARTBEAT_S = 0.4
#: Path of requests that crash each worker that starts to run one.
DEADLY_PATH = "/a/deadly"
#: The same on the route of non-idempotent requests.
DEADLY_POST_PATH = "/p/deadly"
_DEADLY_PATHS = frozenset((DEADLY_PATH, DEADLY_POST_PATH))
#: Status with which a node acknowledges an announcement.
_ACKNOWLEDGED_STATUS = 200


async def _ignore_announcement(state: str) -> None:
    """Announce to nobody, as long as the node is not started."""


async def _ignore_deregistration() -> None:
    """Deregister nowhere, as long as the node is not started."""


class Departure(Enum):
    """How a worker tells its node that it leaves."""

    DRAINS = "announces draining"
    DEREGISTERS = "deregisters without an announcement"


class WorkerFault(Enum):
    """Malfunction of a worker."""

    NONE = "none"
    SLOW = "slow"
    SHEDS = "sheds half of the requests"
    FAILS = "fails half of the requests"
    TRUNCATES = "truncates half of the responses"
    HANGS = "does not respond"
    REPEATS = "sheds half of the requests, and sends second responses"
    NEVER_ENDS = "sends half of the responses without an end"


_SHEDDING_FAULTS = frozenset((WorkerFault.SHEDS, WorkerFault.REPEATS))


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a worker started to run."""

    request_id: str
    at: float
    incarnation: str
    #: Method, path and body, in the form of ``Record.text``.
    fingerprint: str
    #: Client account in the request's header.
    account: str = ACCOUNT_NAME
    #: Whether the request still carried the client key.
    has_key: bool = False


class SoakWorker:
    """Worker of one node; its record of arrivals is what checks compare with.

    Parameters
    ==========

    name : str
        Base of the IDs; each incarnation appends a number.
    random : Random
        Source of service times and of the requests that malfunctions affect.
    now : callable
        Returns seconds from the start of the soak.
    """

    service = "s1"

    def __init__(self, name: str, random: Random, now: Callable[[], float]) -> None:
        self.base_name = name
        self.fault = WorkerFault.NONE
        self.arrivals: list[Arrival] = []
        #: IDs and times of all requests that reached the worker, rejected ones too.
        self.received: list[tuple[str, float]] = []
        self.address = ("127.0.0.1", 0)
        #: Announces a state to the node; returns the status of the response.
        self.announce: Callable[[str], Awaitable[int | None]] = _ignore_announcement
        #: Deregisters the worker at the node; returns the status of the response.
        self.deregister: Callable[[], Awaitable[int | None]] = _ignore_deregistration
        #: Whether it responds 200 to health probes though it leaves.
        self.hides_leaving = False
        #: When the node acknowledged the leaving of an incarnation, by its ID.
        self.drained_at: dict[str, float] = {}
        #: What the worker advertises in its responses, and all that it ever did.
        self.advertised: Advertisement | None = None
        self.advertisements: list[Advertisement] = []
        #: When a deadly request crashed this incarnation; None if none did.
        self.crashed_at: float | None = None
        self._random = random
        self._now = now
        self._number = 0
        self._draining = False
        self._listener: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._transports: set[asyncio.Transport] = set()

    @property
    def name(self) -> str:
        """ID of the current incarnation."""
        return f"{self.base_name}-{self._number}"

    def advertise(self, rate_limit: float | None, leaving: bool = False) -> None:
        """Add a rate limit, or that the worker leaves, to all responses from now on."""
        self.stop_advertising()
        self.advertised = Advertisement(self.name, rate_limit, leaving)
        self.advertisements.append(self.advertised)

    def stop_advertising(self) -> None:
        """Respond without these headers from now on."""
        if self.advertised is not None:
            self.advertised.ended_at = self._now()
            self.advertised = None

    async def start(self) -> None:
        """Start a new incarnation at the same address."""
        self.stop_advertising()
        self._number += 1
        self._draining = self.hides_leaving = False
        self.crashed_at = None
        server = web.Server(self._handle, access_log=None)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(server, *self.address)
        self.address = self._listener.sockets[0].getsockname()[:2]
        self._tasks = [asyncio.ensure_future(self._announce_forever(self.name))]

    async def leave(self, departure: Departure = Departure.DRAINS) -> None:
        """State leaving until the node acknowledges it."""
        self._draining = True
        name = self.name
        while self.name == name and await self._state_leaving(departure) != (
            _ACKNOWLEDGED_STATUS
        ):
            await asyncio.sleep(0.1)
        self.drained_at.setdefault(name, self._now())

    async def _state_leaving(self, departure: Departure) -> int | None:
        if departure is Departure.DEREGISTERS:
            return await self.deregister()
        return await self.announce("draining")

    def crash(self) -> None:
        """Stop listening and abort all connections without draining."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        transports, self._transports = self._transports, set()
        for transport in transports:
            transport.abort()

    async def _announce_forever(self, name: str) -> None:
        while self.name == name:
            if not self._draining:
                await self.announce("ready")
            await asyncio.sleep(_HEARTBEAT_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        name = self.name
        response = await self._respond(request)
        if self.fault is WorkerFault.REPEATS and request.transport is not None:
            request_id = request.headers.get(REQUEST_ID, "")
            send_second_response(request.transport, self._random, request_id)
        advertised = self.advertised
        if advertised is not None and advertised.incarnation == name:
            response.headers.update(advertised.headers())
            if advertised.began_at is None and REQUEST_ID in request.headers:
                advertised.began_at = self._now()
        return response

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.transport is not None:
            self._transports.add(request.transport)
        if self.crashed_at is not None and request.transport is not None:
            # First request of a connection that was open when the worker crashed.
            request.transport.abort()
            return web.Response()
        identity = {INSTANCE: self.name}
        if request.path == "/health":
            leaving = self._draining and not self.hides_leaving
            return web.Response(status=503 if leaving else 200, headers=identity)
        request_id = request.headers[REQUEST_ID]
        self.received.append((request_id, self._now()))
        if request.headers.get(EXPECTED) != self.name:
            return web.Response(status=421, headers=identity)
        echo = {REQUEST_ID: request_id}
        selected = self._random.random() < 0.5
        if self.fault in _SHEDDING_FAULTS and selected:
            return web.Response(status=503, headers={**echo, NOT_RUN: "1"})
        body = await request.read()
        text = f"{request.method} {request.path} {body.decode()}"
        headers = request.headers
        account = headers.get(ACCOUNT, "")
        arrival = Arrival(
            request_id, self._now(), self.name, text, account, KEY in headers
        )
        self.arrivals.append(arrival)
        if request.path in _DEADLY_PATHS and self.crashed_at is None:
            self.crashed_at = self._now()
            self.crash()
        await asyncio.sleep(self._random.uniform(0.005, 0.05))
        if self.fault is WorkerFault.SLOW:
            await asyncio.sleep(self._random.uniform(0.3, 0.8))
        elif self.fault is WorkerFault.HANGS:
            await asyncio.sleep(20)
        elif self.fault is WorkerFault.FAILS and selected:
            stamp = {STAMP: f"{self.name}.500"}
            return web.Response(status=500, headers={**echo, **stamp})
        elif self.fault is WorkerFault.NEVER_ENDS and selected and request.transport:
            await send_without_end(request.transport, self._random, request_id)
        elif self.fault is WorkerFault.TRUNCATES and selected and request.transport:
            request.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nda")
            request.transport.abort()
        stamp = {STAMP: f"{self.name}.200"}
        return web.Response(text=f"{request_id} {text}", headers={**echo, **stamp})
