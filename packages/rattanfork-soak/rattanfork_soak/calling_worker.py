"""Worker that responds with a size and after a time that the path names."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

from aiohttp import web
from rattanfork_adapter.tests.fakes import (
    DEADLINE,
    EXPECTED,
    INSTANCE,
    REQUEST_ID,
    STAMP,
)

from rattanfork_soak.exchange_record import WorkerRun
from rattanfork_soak.recording_connection import response_body
from rattanfork_soak.worker import SoakWorker

_PART_BYTES = 64 << 10
#: A worker makes a call again that failed once, as clients do.
_CALL_ATTEMPTS = 2


def work_path(
    service: str, kind: str, work_ms: int, size: int, depth: int, calls: int = 0
) -> str:
    """Return a path: its service, its kind, and what the worker is to do.

    Its work makes ``calls`` at even intervals, whose results it ignores.

    Examples
    ========

    >>> work_path("s1", "get", 20, 300, 2)
    '/s1-get/20-300-2-0'
    """
    return f"/{service}-{kind}/{work_ms}-{size}-{depth}-{calls}"


class CallingWorker(SoakWorker):
    """Worker that works for a while, makes calls, and sends a large response.

    Parameters
    ==========

    name, random, now
        As of the base class.
    service : str
        The service that it is an instance of.
    runs : dict of str to list of WorkerRun
        Where runs of all workers are recorded, by request ID.
    """

    def __init__(
        self,
        name: str,
        random: Random,
        now: Callable[[], float],
        service: str,
        runs: dict[str, list[WorkerRun]],
    ) -> None:
        super().__init__(name, random, now)
        self.service = service
        self._runs = runs
        #: Makes a call to the next service: ID, depth and remaining milliseconds.
        self.call: Callable[[str, int, int], Awaitable[bool]] | None = None
        self._open_runs: list[WorkerRun] = []
        self._calls = 0

    @property
    def at_work(self) -> int:
        """Number of requests that are being run."""
        return len(self._open_runs)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        identity = {INSTANCE: self.name}
        if request.transport is not None:
            self._transports.add(request.transport)
        if request.path == "/health":
            return web.Response(status=503 if self._draining else 200, headers=identity)
        request_id = request.headers[REQUEST_ID]
        if request.headers.get(EXPECTED) != self.name:
            return web.Response(status=421, headers=identity)
        run = WorkerRun(self.name, self._now())
        self._runs.setdefault(request_id, []).append(run)
        self._open_runs.append(run)
        try:
            return await self._run(request, run, request_id)
        finally:
            self._open_runs.remove(run)

    async def _run(
        self, request: web.BaseRequest, run: WorkerRun, request_id: str
    ) -> web.StreamResponse:
        work = request.path.rpartition("/")[2].split("-")
        work_ms, size, depth, calls = map(int, work)
        until = self._now() + int(request.headers[DEADLINE]) / 1000
        with suppress(ConnectionError):
            async for _ in request.content.iter_any():
                pass
        pending = []
        for _ in range(calls):
            await asyncio.sleep(work_ms / 1000 / calls)
            call = self._call(request_id, 0, until, attempts=1)
            pending.append(asyncio.ensure_future(call))
        if pending:
            await asyncio.wait(pending)
        else:
            await asyncio.sleep(work_ms / 1000)
        has_failed = depth > 0 and not await self._call(request_id, depth - 1, until)
        status = 500 if has_failed else 200
        stamp = f"{self.name}.{status}"
        response = web.StreamResponse(
            status=status, headers={REQUEST_ID: request_id, STAMP: stamp}
        )
        body = b"" if has_failed else response_body(request_id, size)
        response.content_length = len(body)
        with suppress(ConnectionError):
            await response.prepare(request)
            for start in range(0, len(body), _PART_BYTES):
                await response.write(body[start : start + _PART_BYTES])
            await response.write_eof()
            run.ended = self._now()
        return response

    async def _call(
        self,
        request_id: str,
        depth: int,
        until: float,
        attempts: int = _CALL_ATTEMPTS,
    ) -> bool:
        for _ in range(attempts):
            left_ms = int((until - self._now()) * 1000)
            self._calls += 1
            # Unique, although a request that runs again makes its calls again.
            if await self.call(
                f"{request_id}.{self.base_name}c{self._calls}", depth, left_ms
            ):
                return True
        return False

    def crash(self) -> None:
        """Stop listening and abort all connections; what still runs is broken off."""
        for run in self._open_runs:
            run.broke_off = True
        super().crash()

    def retire(self) -> None:
        """Stop listening, and close all connections once what was written is sent."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        transports, self._transports = self._transports, set()
        for transport in transports:
            transport.close()
