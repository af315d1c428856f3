"""Test double of an upstream instance."""

import asyncio
import json
from dataclasses import dataclass, field
from random import Random
from time import monotonic

import aiohttp
from aiohttp import web

_NOT_RUN_HEADERS = {"Rattanfork-Not-Run": "1"}
#: Echoed in all responses, so that nodes can tell which request a response is for.
_REQUEST_ID_HEADER = "Rattanfork-Request-Id"
_CONTEXT_HEADERS = ("Rattanfork-Context",)
#: Headers passed on to child calls if the request came without a node in between.
_DIRECT_HEADERS = (_REQUEST_ID_HEADER, "Rattanfork-Importance")


@dataclass(slots=True)
class UpstreamSpec:
    """Capacity and behaviour of an upstream stand-in.

    Parameters
    ==========

    edge : str
        Base URL of the node through which it calls other services.
    admin : str
        Admin URL of the node to which it announces itself; "" for none.
    queue : int
        Most requests that wait for a slot inside the upstream.
    sheds : bool
        Whether requests beyond ``queue`` are refused instead of queued.
    deviation : float
        Largest deviation of a service time, as a fraction of the mean.
    cold_seconds, cold_factor : float
        Duration of the cold start, and the factor on service times during it.
    announced_slots : int or None
        Number of slots that it announces, if it differs from ``slots``.
    """

    service: str
    port: int
    edge: str
    admin: str = ""
    slots: int = 10
    connections: int = 800
    service_time: float = 0.01
    deviation: float = 0.2
    children: dict[str, list[str]] = field(default_factory=dict)
    queue: int = 1000
    sheds: bool = True
    cold_seconds: float = 0.0
    cold_factor: float = 1.0
    announced_slots: int | None = None
    seed: int = 1


class UpstreamStandIn:
    """An upstream with a concurrency limit, a log of runs, and injected faults.

    Explanation
    ===========

    The ledger records each request that ran, in order; tests compare the
    results that callers got with it.  ``POST /-/control`` changes the behaviour
    at run time: ``slow`` multiplies service times; ``load_lie`` multiplies the
    load that ``/-/load`` reports, and ``load_lag`` delays it by some seconds;
    ``silent`` stops announcements; ``leaving`` announces that the upstream
    leaves; ``forget`` clears the ledger and the counts.
    """

    def __init__(self, spec: UpstreamSpec) -> None:
        self._spec = spec
        self._random = Random(spec.seed)
        self._slots = asyncio.Semaphore(spec.slots)
        self._waiting = 0
        self._running = 0
        self._started_at = monotonic()
        self._slowdown = 1.0
        self._load_factor = 1.0
        self._load_delay_s = 0.0
        self._announcements_off = False
        self._load_log: list[tuple[float, float]] = []
        self._ledger: list[dict] = []
        self._counts = {"arrived": 0, "shed": 0, "abandoned": 0, "completed": 0}
        self._session: aiohttp.ClientSession | None = None

    @property
    def ledger(self) -> list[dict]:
        """Requests that ran, in order."""
        return self._ledger

    async def start(self) -> None:
        """Start to listen, and to announce the upstream periodically."""
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        loop = asyncio.get_running_loop()
        await loop.create_server(server, "127.0.0.1", self._spec.port, backlog=1024)
        if self._spec.admin:
            self._announce_task = asyncio.ensure_future(self._announce_periodically())

    async def _announce_periodically(self) -> None:
        while True:
            if not self._announcements_off:
                await self._announce(leaving=False)
            await asyncio.sleep(
                1.0 if self._announcements_off or self._announced else 0.1
            )

    _announced = False

    async def _announce(self, leaving: bool) -> None:
        spec = self._spec
        body = {
            "service": spec.service,
            "url": f"http://127.0.0.1:{spec.port}",
            "slots": spec.announced_slots or spec.slots,
            "connections": spec.connections,
            "leaving": leaving,
        }
        try:
            async with self._session.post(
                f"{spec.admin}/announce", json=body
            ) as response:
                self._announced = response.status == 200
        except aiohttp.ClientError:
            self._announced = False

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        response = await self._respond(request)
        if _REQUEST_ID_HEADER in request.headers:
            response.headers[_REQUEST_ID_HEADER] = request.headers[_REQUEST_ID_HEADER]
        return response

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        if request.path.startswith("/-/"):
            return await self._control(request)
        self._counts["arrived"] += 1
        if self._spec.sheds and self._waiting >= self._spec.queue:
            self._counts["shed"] += 1
            return web.Response(status=503, headers=_NOT_RUN_HEADERS)
        body = await request.read()
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            return await self._run(request, body)
        except asyncio.CancelledError:
            self._counts["abandoned"] += 1
            raise
        finally:
            self._running -= 1
            self._slots.release()

    async def _run(self, request: web.BaseRequest, body: bytes) -> web.Response:
        operation = request.path.split("/")[1]
        entry = {
            "request_id": request.headers.get(_REQUEST_ID_HEADER, ""),
            "caller": request.headers.get("Rattanfork-Caller", ""),
            "method": request.method,
            "path": request.path_qs,
            "body": body.decode("latin-1")[:200],
            "at": monotonic(),
            "done": False,
        }
        self._ledger.append(entry)
        await asyncio.sleep(self._service_time())
        child_results = []
        for child in self._spec.children.get(operation, ()):
            child_result = await self._call_child(request, child)
            if child_result is None:
                return web.Response(status=503, text="call to a child service failed")
            child_results.append(child_result)
        entry["done"] = True
        self._counts["completed"] += 1
        result = {
            "service": self._spec.service,
            "operation": operation,
            "request_id": entry["request_id"],
            "echo": request.query.get("echo", ""),
            "parts": child_results,
            "complete": True,
        }
        return web.Response(text=json.dumps(result), content_type="application/json")

    def _service_time(self) -> float:
        spec = self._spec
        low, high = 1 - spec.deviation, 1 + spec.deviation
        time = spec.service_time * self._random.uniform(low, high) * self._slowdown
        if monotonic() - self._started_at < spec.cold_seconds:
            time *= spec.cold_factor
        return time

    async def _call_child(self, request: web.BaseRequest, child: str) -> dict | None:
        header_names = _CONTEXT_HEADERS
        if header_names[0] not in request.headers:
            header_names = _DIRECT_HEADERS
        headers = {n: request.headers[n] for n in header_names if n in request.headers}
        try:
            async with self._session.get(
                f"{self._spec.edge}/{child}", headers=headers
            ) as response:
                if response.status != 200:
                    return None
                return await response.json()
        except (aiohttp.ClientError, ValueError):
            return None

    async def _control(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/-/ledger":
            return web.json_response({"ledger": self._ledger, "counts": self._counts})
        if request.path == "/-/health":
            return web.json_response({"healthy": True})
        if request.path == "/-/load":
            return web.json_response({"load": self._reported_load()})
        change = await request.json()
        self._slowdown = change.get("slow", self._slowdown)
        self._load_factor = change.get("load_lie", self._load_factor)
        self._load_delay_s = change.get("load_lag", self._load_delay_s)
        self._announcements_off = change.get("silent", self._announcements_off)
        if change.get("forget"):
            self._ledger.clear()
            self._counts = dict.fromkeys(self._counts, 0)
        if change.get("leaving"):
            self._announcements_off = True
            await self._announce(leaving=True)
        return web.json_response({"done": True})

    def _reported_load(self) -> float:
        now = monotonic()
        load = (self._running + self._waiting) / self._spec.slots * self._load_factor
        self._load_log.append((now, load))
        reported = [
            value for at, value in self._load_log if at <= now - self._load_delay_s
        ]
        return reported[-1] if reported else 0.0
