"""Clients that use a connection until its node closes it, each in its own way."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from random import Random

from rattanfork_adapter.tests.fleet import client_headers

from rattanfork_soak.calling_worker import work_path
from rattanfork_soak.exchange_record import ExchangeRecord
from rattanfork_soak.recording_connection import RecordingConnection

#: Deadline of the clients, and timeout of the routes, in seconds.
DEADLINE_S = 12.0
TIMEOUT_S = 10.0
#: Time until a client connects again to a node that does not accept connections.
_RECONNECT_S = 0.05
#: Time that nodes allow a connection to be idle, and share of it that clients use.
IDLE_TIMEOUT_S = 3.0
_IDLE_SHARE = 0.8
_KIB = 1 << 10
#: Milliseconds between the calls of a long run.
_CALL_INTERVAL_MS = 40


class KeptClient(ABC):
    """Sends requests to one node until cancelled.

    Parameters
    ==========

    name : str
        Prefix of the request IDs.
    node : str
        Name of the node.
    address : pair
        Its host and port for clients.
    services : sequence of str
        Services to send requests to.
    now : callable
        Returns seconds from the start of the run.
    on_sent : callable
        Is passed each record before its request is sent.
    random : Random
        Source of times, sizes and services.
    """

    #: Receive buffer of the connections in bytes; None for the system's default.
    receive_buffer: int | None = None
    #: Bytes per second at which responses are read; None for no limit.
    rate: float | None = None

    def __init__(
        self,
        name: str,
        node: str,
        address: tuple[str, int],
        services: Sequence[str],
        now: Callable[[], float],
        on_sent: Callable[[ExchangeRecord], None],
        random: Random,
    ) -> None:
        self._name = name
        self._node = node
        self._address = address
        self._services = services
        self._now = now
        self._on_sent = on_sent
        self.random = random
        self._count = 0

    async def run(self) -> None:
        """Open one connection after another until cancelled."""
        while True:
            self.prepare()
            connection = RecordingConnection(
                self._address, self._now, self.receive_buffer, self.rate
            )
            if not await connection.open():
                await asyncio.sleep(_RECONNECT_S)
                continue
            try:
                while not connection.is_closing:
                    await self.use(connection)
            finally:
                await connection.close()

    def prepare(self) -> None:  # noqa: B027 - most kinds need nothing
        """Draw the properties of the next connection."""

    @abstractmethod
    async def use(self, connection: RecordingConnection) -> None:
        """Send some requests on a connection and wait for their responses."""

    async def send(
        self,
        connection: RecordingConnection,
        kind: str = "get",
        size: int = 200,
        body: Sequence[bytes] = (),
        is_chunked: bool = False,
        pause: float = 0.0,
        long_run: tuple[int, int] | None = None,
    ) -> asyncio.Future:
        """Send one request; return a future of the end of its exchange.

        ``long_run`` has the milliseconds of work and the calls that it makes meanwhile;
        without, both are drawn.
        """
        random = self.random
        self._count += 1
        record = ExchangeRecord(
            f"{self._name}-{self._count}",
            self._node,
            type(self).__name__,
            kind == "get",
            size,
            min(DEADLINE_S, TIMEOUT_S),
        )
        self._on_sent(record)
        work_ms = random.randint(0, 40)
        if random.random() < 0.1:
            work_ms = random.randint(200, 2000)
        depth = random.choice((0, 0, 0, 0, 0, 1, 2))
        calls = 0
        if long_run is not None:
            (work_ms, calls), depth = long_run, 0
        service = random.choice(self._services)
        path = work_path(service, kind, work_ms, size, depth, calls)
        parts = _render(path, kind, record.request_id, body, is_chunked)
        return await connection.send(record, parts, pause)

    async def think(self, longest: float = 0.15) -> None:
        """Wait for a random time."""
        await asyncio.sleep(self.random.uniform(0.0, longest))


class SequentialClient(KeptClient):
    """Sends the next request after each response, to alternating services."""

    async def use(self, connection: RecordingConnection) -> None:
        """Send a request and wait for its response."""
        if self.random.random() < 0.5:
            await (await self.send(connection, "post", body=[b"order"]))
        else:
            await (await self.send(connection))
        await self.think()


class NewConnectionClient(SequentialClient):
    """Sends each request on a connection of its own."""

    async def use(self, connection: RecordingConnection) -> None:
        """Send one request."""
        await super().use(connection)
        connection.is_closing = True


class PipeliningClient(KeptClient):
    """Sends several requests at once."""

    async def use(self, connection: RecordingConnection) -> None:
        """Send several requests and wait for all responses."""
        ends = []
        for _ in range(self.random.randint(2, 6)):
            ends.append(await self.send(connection))
            if self.random.random() < 0.3:
                await self.think(0.03)
        await asyncio.gather(*ends)
        await self.think()


class SlowReader(KeptClient):
    """Reads a large response slowly and sends further requests meanwhile."""

    def prepare(self) -> None:
        """Draw the size of the receive buffer and the rate of reading."""
        self.receive_buffer = self.random.choice((4, 8, 16)) * _KIB
        self._size = self.random.randint(200_000, 400_000)
        self.rate = self._size / self.random.uniform(1.0, 3.0)

    async def use(self, connection: RecordingConnection) -> None:
        """Request a large response and small ones behind it."""
        ends = [await self.send(connection, size=self._size)]
        while not ends[0].done() and not connection.is_closing:
            await self.think(0.3)
            if len(ends) < 12 and not connection.is_closing:
                ends.append(await self.send(connection))
        await asyncio.gather(*ends)
        await self.think()


class LargeReader(KeptClient):
    """Requests responses that are passed between nodes in parts."""

    async def use(self, connection: RecordingConnection) -> None:
        """Request a large response."""
        size = self.random.randint(70_000, 1_500_000)
        await (await self.send(connection, size=size))
        await self.think()


class ChunkingClient(KeptClient):
    """Sends bodies in chunks, over up to 1.2 s."""

    async def use(self, connection: RecordingConnection) -> None:
        """Send one request with a chunked body."""
        chunks = [b"c" * self.random.randint(1, 2000) for _ in range(4)]
        pause = self.random.uniform(0.0, 0.3)
        await (
            await self.send(
                connection, "post", body=chunks, is_chunked=True, pause=pause
            )
        )
        await self.think()


class UploadingClient(KeptClient):
    """Sends large bodies that are passed on while they are received."""

    async def use(self, connection: RecordingConnection) -> None:
        """Send one large body."""
        parts = [b"u" * 50_000] * self.random.randint(4, 40)
        pause = self.random.uniform(0.0, 2.0) / len(parts)
        await (
            await self.send(
                connection,
                "upload",
                body=parts,
                is_chunked=self.random.random() < 0.5,
                pause=pause,
            )
        )
        await self.think(0.5)


class IdlingClient(KeptClient):
    """Leaves its connection idle for most of the time that nodes allow."""

    async def use(self, connection: RecordingConnection) -> None:
        """Send a request and leave the connection idle."""
        await (await self.send(connection))
        idle = self.random.uniform(0.5, 1.0) * _IDLE_SHARE * IDLE_TIMEOUT_S
        await asyncio.sleep(idle)


class HalfClosingClient(KeptClient):
    """Closes its sending side behind a request."""

    async def use(self, connection: RecordingConnection) -> None:
        """Send one request and end the sending side."""
        ended = await self.send(connection)
        connection.end_sending()
        await ended
        connection.is_closing = True
        await self.think()


class LongRunClient(KeptClient):
    """Requests runs that last long and make calls all the time."""

    async def use(self, connection: RecordingConnection) -> None:
        """Request one long run."""
        work_ms = self.random.randint(4000, 8000)
        work = (work_ms, work_ms // _CALL_INTERVAL_MS)
        await (await self.send(connection, long_run=work))
        await self.think()


#: Kinds of clients and how many of each every node has.
CLIENT_KINDS: dict[type[KeptClient], int] = {
    SequentialClient: 3,
    NewConnectionClient: 1,
    PipeliningClient: 2,
    SlowReader: 2,
    LargeReader: 1,
    ChunkingClient: 1,
    UploadingClient: 1,
    IdlingClient: 1,
}


def _render(
    path: str, kind: str, request_id: str, body: Sequence[bytes], is_chunked: bool
) -> list[bytes]:
    """Return a request in the parts in which it is sent."""
    headers = client_headers(request_id, int(DEADLINE_S * 1000))
    if is_chunked:
        headers["Transfer-Encoding"] = "chunked"
        body = [b"%x\r\n%b\r\n" % (len(part), part) for part in body] + [b"0\r\n\r\n"]
    elif body:
        headers["Content-Length"] = str(sum(map(len, body)))
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    method = "GET" if kind == "get" else "POST"
    return [f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode(), *body]
