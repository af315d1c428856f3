"""Baseline for benchmarks: a plain forwarder with retries or a concurrency limit."""

import asyncio
from dataclasses import dataclass, field
from random import Random

import aiohttp
from aiohttp import web

_NOT_FORWARDED_HEADERS = frozenset(
    ("host", "content-length", "transfer-encoding", "connection")
)


@dataclass(slots=True)
class ForwarderSpec:
    """Retries and limits of a forwarder.

    Parameters
    ==========

    targets : dict
        Base URLs of the instances of each service.
    retries : int
        Most immediate retries after a failure or a 5xx response, each at a
        random instance.
    limit : int
        Most requests in flight; requests above it are shed.  0 for no limit.
    timeout : float
        Time limit of one attempt in seconds.
    """

    port: int
    targets: dict[str, list[str]] = field(default_factory=dict)
    retries: int = 0
    limit: int = 0
    timeout: float = 2.0
    seed: int = 1


class Forwarder:
    """An aiohttp forwarder without overload control; compared in benchmarks."""

    def __init__(self, spec: ForwarderSpec) -> None:
        self._spec = spec
        self._random = Random(spec.seed)
        self._in_flight = 0
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Start to listen for requests."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=self._spec.timeout),
            auto_decompress=False,
        )
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        loop = asyncio.get_running_loop()
        await loop.create_server(server, "127.0.0.1", self._spec.port, backlog=1024)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        limit = self._spec.limit
        # Sheds at random from 90% of the limit, regardless of importance.
        if limit and self._in_flight >= limit * self._random.uniform(0.9, 1.0):
            return web.Response(status=503)
        self._in_flight += 1
        try:
            return await self._forward(request)
        finally:
            self._in_flight -= 1

    async def _forward(self, request: web.BaseRequest) -> web.Response:
        _, service, path = request.raw_path.split("/", 2)
        body = await request.read() if request.body_exists else None
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in _NOT_FORWARDED_HEADERS
        }
        response = web.Response(status=502)
        for _ in range(self._spec.retries + 1):
            target = self._random.choice(self._spec.targets[service])
            try:
                async with self._session.request(
                    request.method, f"{target}/{path}", headers=headers, data=body
                ) as upstream_response:
                    response_body = await upstream_response.read()
                    response = web.Response(
                        status=upstream_response.status,
                        body=response_body,
                        headers={"Content-Type": upstream_response.content_type},
                    )
            except (TimeoutError, aiohttp.ClientError):
                response = web.Response(status=502)
            if response.status < 500:
                break
        return response
