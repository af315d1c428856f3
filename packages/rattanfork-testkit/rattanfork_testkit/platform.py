"""Test double of the platform: its table service and object store."""

import asyncio
import json
from dataclasses import dataclass
from time import monotonic

from aiohttp import web


@dataclass(slots=True)
class _TokenBucket:
    """Rate limit; ``then`` is the time of the last refill."""

    rate: float
    tokens: float
    then: float

    def try_acquire(self) -> bool:
        now = monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.then) * self.rate)
        self.then = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class PlatformStandIn:
    """An in-memory transactional table and object store, with injected faults.

    Explanation
    ===========

    ``POST /-/control`` sets the ``mode``: ``up``; ``down`` (closes connections
    without a response); ``slow`` (responds after ``delay`` seconds); ``lose``
    (applies writes, and closes the connection without a response).  Requests
    above the rate limits get status 503.

    Parameters
    ==========

    writes, reads : float
        Rate limits, in requests per second.
    """

    def __init__(self, port: int, writes: float = 400, reads: float = 2000) -> None:
        self._port = port
        self._rows: dict[str, tuple[int, object]] = {}
        self._objects: dict[str, bytes] = {}
        self._mode = "up"
        self._delay = 0.0
        self._writes = _TokenBucket(writes, writes, monotonic())
        self._reads = _TokenBucket(reads, reads, monotonic())
        self._counts = {"reads": 0, "writes": 0, "refused": 0}

    async def start(self) -> None:
        """Start to listen for requests."""
        server = web.Server(self._handle, access_log=None)
        loop = asyncio.get_running_loop()
        await loop.create_server(server, "127.0.0.1", self._port, backlog=1024)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/-/control":
            change = await request.json()
            self._mode = change.get("mode", self._mode)
            self._delay = change.get("delay", self._delay)
            return web.json_response({"done": True})
        if request.path == "/-/counts":
            return web.json_response(self._counts)
        body = await request.read()
        if self._mode == "down":
            request.transport.abort()
            return web.Response(status=503)
        if self._mode == "slow":
            await asyncio.sleep(self._delay)
        is_write = request.method != "GET"
        if not (self._writes if is_write else self._reads).try_acquire():
            self._counts["refused"] += 1
            return web.Response(status=503)
        self._counts["writes" if is_write else "reads"] += 1
        response = self._serve(request, body)
        if self._mode == "lose" and is_write:
            request.transport.abort()
        return response

    def _serve(self, request: web.BaseRequest, body: bytes) -> web.Response:
        kind, _, key = request.path.lstrip("/").partition("/")
        if kind == "table" and request.method == "GET":
            if key not in self._rows:
                return web.json_response({}, status=404)
            version, value = self._rows[key]
            return web.json_response({"version": version, "value": value})
        if kind == "transactions" and request.method == "POST":
            return self._transact(json.loads(body))
        if kind == "objects" and request.method == "PUT":
            self._objects[key] = body
            return web.json_response({})
        if kind == "objects" and key in self._objects:
            return web.Response(body=self._objects[key])
        return web.json_response({}, status=404)

    def _transact(self, body: dict) -> web.Response:
        checks, writes = body["checks"], body["writes"]
        for key, version in checks.items():
            if self._rows.get(key, (0, None))[0] != version:
                return web.json_response({"conflict": key}, status=409)
        for key, value in writes.items():
            self._rows[key] = (self._rows.get(key, (0, None))[0] + 1, value)
        return web.json_response({"written": len(writes)})
