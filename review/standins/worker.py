"""Stand-in of a worker."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from time import monotonic

from standins.http import (
    CALLER,
    DEADLINE,
    EXPECTED,
    INSTANCE,
    NOT_RUN,
    REQUEST_ID,
    STAMP,
    Message,
    call,
    read_message,
    render_response,
)

HEARTBEAT_S = 1.5


@dataclass(slots=True)
class Run:
    """A request that a worker began to work on."""

    request_id: str
    worker: str
    at: float
    method: str
    target: str
    caller: str
    headers: dict[str, str]
    body: bytes = b""


class Worker:
    """Serves one request at a time on a connection, ``slots`` of them concurrently.

    Parameters
    ==========

    name : str
        ID of the worker.
    service : str
        Its service.
    slots, queue : int
        Requests that run at once, and that wait for a slot.
    work_s : float
        Mean time of a run.
    record : callable
        Called with each run.
    random : Random
        Source of the times of runs.
    max_connections : int
        Connections beyond this number are reset.
    """

    def __init__(
        self,
        name: str,
        service: str,
        slots: int,
        queue: int,
        work_s: float,
        record: Callable[[Run], None],
        random: Random,
        max_connections: int = 400,
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.address = ("127.0.0.1", 0)
        #: Address of its node for heartbeats.
        self.control: tuple[str, int] | None = None
        self.state = "ready"
        #: Zone of its machine.
        self.zone = "z1"
        #: Whether requests are read and never answered, while health probes are.
        self.hangs = False
        #: Makes the call of a run, given its ID and the time left; returns whether it
        #: was served.  None if runs make no calls.
        self.make_call: Callable[[str, float], Awaitable[bool]] | None = None
        #: Whether a run is dropped when its connection closes, as most workers do.
        self.drops = True
        #: IDs of the requests that run now.
        self.running: set[str] = set()
        self._queue = queue
        self._record = record
        self._random = random
        self._max_connections = max_connections
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        #: Runs that go on though their connections have closed.
        self._left: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._sequence = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def announce_to(self, control: tuple[str, int]) -> None:
        """Send heartbeats to the control address of a node from now on."""
        self.control = control
        self._beats = asyncio.ensure_future(self._beat())

    def stop(self) -> None:
        """Stop listening, sending heartbeats and running."""
        for run in list(self._left):
            run.cancel()
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self) -> int | None:
        """Send a heartbeat; return the status of its answer."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftS": 0,
            "sequence": self._sequence,
        }
        answer = await call(
            self.control,
            "PUT",
            f"/rattanfork/instances/{self.name}",
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
        )
        return None if answer is None else answer.status

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) >= self._max_connections:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while (request := await read_message(reader, response=False)) is not None:
                # Most workers drop a request when its connection closes.
                run = asyncio.ensure_future(self._respond(request))
                closed = asyncio.ensure_future(_wait_for_close(reader))
                await asyncio.wait((run, closed), return_when=asyncio.FIRST_COMPLETED)
                if not run.done():
                    if self.drops:
                        run.cancel()
                    else:
                        self._left.add(run)
                        run.add_done_callback(self._left.discard)
                    return
                closed.cancel()
                status, headers, body = run.result()
                if REQUEST_ID in request.headers:
                    headers["X-Rattanfork-Request-Id"] = request.headers[REQUEST_ID]
                writer.write(render_response(status, headers, body))
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _respond_health(self) -> tuple[int, dict[str, str], bytes]:
        """Answer a probe, which waits for a slot or is rejected like any request."""
        if self._free.locked() and self._waiting >= self._queue:
            return 503, {NOT_RUN: "1"}, b""
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._free.release()
        status = 200 if self.state == "ready" else 503
        return status, {INSTANCE: self.name}, b""

    async def _respond(self, request: Message) -> tuple[int, dict[str, str], bytes]:
        headers = request.headers
        if request.second.startswith("/health"):
            return await self._respond_health()
        if headers.get(EXPECTED, self.name) != self.name:
            return 421, {INSTANCE: self.name}, b""
        if self.hangs:
            await asyncio.Event().wait()
        if self._free.locked() and self._waiting >= self._queue:
            return 503, {NOT_RUN: "1"}, b""
        expires = monotonic() + int(headers.get(DEADLINE, "10000")) / 1000
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            if monotonic() >= expires:
                return 503, {NOT_RUN: "1"}, b""
            self._record(
                Run(
                    headers.get(REQUEST_ID, ""),
                    self.name,
                    monotonic(),
                    request.first,
                    request.second,
                    headers.get(CALLER, ""),
                    headers,
                    request.body,
                )
            )
            self.running.add(headers.get(REQUEST_ID, ""))
            try:
                async with asyncio.timeout(expires - monotonic()):
                    await asyncio.sleep(self.work_s * self._random.uniform(0.6, 1.4))
                    if self.make_call is not None and not await self.make_call(
                        headers.get(REQUEST_ID, ""), expires - monotonic()
                    ):
                        return 500, {STAMP: f"{self.name}.failed"}, b""
            except TimeoutError:
                return 504, {STAMP: f"{self.name}.late"}, b""
            stamp = f"{self.name}.{headers.get(REQUEST_ID, '')}"
            return 200, {STAMP: stamp}, b"whole answer of " + stamp.encode()
        finally:
            self.running.discard(headers.get(REQUEST_ID, ""))
            self._free.release()


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    """Wait until the peer has closed the connection; nothing is read from it."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.05)
