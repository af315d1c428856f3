"""An upstream that keeps a ledger, announces itself, and misbehaves."""

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

from rattanfork_soak.keys import ACCOUNT_NAME

#: Seconds between two announcements; the platform's workers take 1.5, and a
#: shorter time only brings a restarted node its worker sooner.
_HEARTBEAT = 0.4
#: Path of requests that end each worker that begins to run one.
DEADLY_PATH = "/a/deadly"
#: Status of an answer that acknowledges an announcement.
_ACKNOWLEDGED = 200


async def _nobody(state: str) -> None:
    """Stand for a node that was not started yet."""


class Trouble(Enum):
    """What a worker does wrong."""

    NONE = "none"
    SLOW = "slow"
    SHEDS = "refuses every second request"
    FAILS = "fails every second request"
    GARBLES = "breaks answers off"
    HANGS = "answers nothing"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a worker began to work on."""

    request_id: str
    at: float
    incarnation: str
    fingerprint: str
    #: Client account that the worker was told.
    account: str = ACCOUNT_NAME
    has_key: bool = False


class SoakWorker:
    """A worker beside a node; the truth of what ran.

    Parameters
    ==========

    name : str
        Name of the place; each incarnation adds a number.
    random : Random
        Source of the times of work and of its troubles.
    now : callable
        Returns seconds from the start of the soak.
    """

    service = "s1"

    def __init__(self, name: str, random: Random, now: Callable[[], float]) -> None:
        self.place = name
        self.trouble = Trouble.NONE
        self.arrivals: list[Arrival] = []
        self.address = ("127.0.0.1", 0)
        #: Announces a state to the node; returns the status of its answer.
        self.announce: Callable[[str], Awaitable[int | None]] = _nobody
        #: When the node acknowledged that this incarnation leaves.
        self.left: dict[str, float] = {}
        #: When a deadly request ended this incarnation; None while none has.
        self.died_at: float | None = None
        self._random = random
        self._now = now
        self._number = 0
        self._leaving = False
        self._listener: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._transports: set[asyncio.Transport] = set()

    @property
    def name(self) -> str:
        """ID of the incarnation that runs now."""
        return f"{self.place}-{self._number}"

    async def start(self) -> None:
        """Run as a new incarnation, at the same address as before."""
        self._number += 1
        self._leaving = False
        self.died_at = None
        server = web.Server(self._handle, access_log=None)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(server, *self.address)
        self.address = self._listener.sockets[0].getsockname()[:2]
        self._tasks = [asyncio.ensure_future(self._announce_forever(self.name))]

    async def leave(self) -> None:
        """Say that this incarnation leaves, until that is acknowledged."""
        self._leaving = True
        name = self.name
        while self.name == name and await self.announce("draining") != _ACKNOWLEDGED:
            await asyncio.sleep(0.1)
        self.left.setdefault(name, self._now())

    def crash(self) -> None:
        """End without a word."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        transports, self._transports = self._transports, set()
        for transport in transports:
            transport.abort()

    async def _announce_forever(self, name: str) -> None:
        while self.name == name:
            if not self._leaving:
                await self.announce("ready")
            await asyncio.sleep(_HEARTBEAT)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.transport is not None:
            self._transports.add(request.transport)
        if self.died_at is not None and request.transport is not None:
            # A connection that had carried nothing when the worker died.
            request.transport.abort()
            return web.Response()
        named = {INSTANCE: self.name}
        if request.path == "/health":
            return web.Response(status=503 if self._leaving else 200, headers=named)
        if request.headers.get(EXPECTED) != self.name:
            return web.Response(status=421, headers=named)
        request_id = request.headers[REQUEST_ID]
        echo = {REQUEST_ID: request_id}
        odd = self._random.random() < 0.5
        if self.trouble is Trouble.SHEDS and odd:
            return web.Response(status=503, headers={**echo, NOT_RUN: "1"})
        body = await request.read()
        text = f"{request.method} {request.path} {body.decode()}"
        headers = request.headers
        account = headers.get(ACCOUNT, "")
        arrival = Arrival(
            request_id, self._now(), self.name, text, account, KEY in headers
        )
        self.arrivals.append(arrival)
        if request.path == DEADLY_PATH and self.died_at is None:
            self.died_at = self._now()
            self.crash()
        await asyncio.sleep(self._random.uniform(0.005, 0.05))
        if self.trouble is Trouble.SLOW:
            await asyncio.sleep(self._random.uniform(0.3, 0.8))
        elif self.trouble is Trouble.HANGS:
            await asyncio.sleep(20)
        elif self.trouble is Trouble.FAILS and odd:
            stamp = {STAMP: f"{self.name}.500"}
            return web.Response(status=500, headers={**echo, **stamp})
        elif self.trouble is Trouble.GARBLES and odd and request.transport:
            request.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nda")
            request.transport.abort()
        stamp = {STAMP: f"{self.name}.200"}
        return web.Response(text=f"{request_id} {text}", headers={**echo, **stamp})
