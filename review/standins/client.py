"""Stand-in of the clients on a machine."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from time import monotonic

from standins.http import STAMP, read_message, render_request


@dataclass(slots=True)
class Attempt:
    """One request of a client and what came back."""

    request_id: str
    kind: str
    node: str
    sent_at: float
    #: Status; 0 if the connection ended or no answer came before the deadline.
    status: int = 0
    stamp: str = ""
    body: bytes = b""
    ended_at: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request: its route, rate and deadline."""

    name: str
    method: str
    host: str
    path: str
    per_s: float
    deadline_s: float
    body: bytes = b""
    key: str = ""
    #: Further headers, as pairs of name and value.
    headers: tuple[tuple[str, str], ...] = ()


class Clients:
    """Clients of one node; they keep connections open, and don't retry.

    Parameters
    ==========

    name : str
        Name of the node.
    address : pair
        Its outbound address.
    random : Random
        Source of the times between requests.
    """

    def __init__(self, name: str, address: tuple[str, int], random: Random) -> None:
        self.attempts: list[Attempt] = []
        self._name = name
        self._address = address
        self._random = random
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter, float]] = []
        self._number = 0
        self._tasks: set[asyncio.Task] = set()

    async def send_for(self, kind: Kind, seconds: float) -> None:
        """Send requests of a kind at its rate for a time."""
        end = monotonic() + seconds
        while monotonic() < end:
            self.send_soon(kind)
            await asyncio.sleep(self._random.expovariate(kind.per_s))

    def send_soon(self, kind: Kind) -> asyncio.Task:
        """Send a request in the background."""
        task = asyncio.ensure_future(self.send(kind))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def finish(self) -> None:
        """Wait until all requests have ended."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        self.close()

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer, _ in self._idle:
            writer.transport.abort()
        self._idle.clear()

    async def send(
        self, kind: Kind, request_id: str = "", wait_s: float | None = None
    ) -> Attempt:
        """Send a request and wait for its answer until its deadline."""
        self._number += 1
        wait_s = kind.deadline_s if wait_s is None else wait_s
        attempt = Attempt(
            request_id or f"{self._random.getrandbits(48):012x}{self._number:04x}",
            kind.name,
            self._name,
            monotonic(),
        )
        self.attempts.append(attempt)
        headers = {
            "Host": kind.host,
            "X-Rattanfork-Request-Id": attempt.request_id,
            "X-Rattanfork-Deadline-Ms": str(int(wait_s * 1000)),
        }
        if kind.key:
            headers["X-Rattanfork-Key"] = kind.key
        headers.update(kind.headers)
        writer = None
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await self._connect()
                target = f"{kind.path}{self._random.randrange(16**4):x}"
                writer.write(render_request(kind.method, target, headers, kind.body))
                message = await read_message(reader, response=True)
                while message is not None and message.status < 200:
                    message = await read_message(reader, response=True)
            if message is not None:
                attempt.status = message.status
                attempt.stamp = message.headers.get(STAMP, "")
                attempt.body = message.body
                attempt.headers = message.headers
                if message.headers.get("connection", "").lower() != "close":
                    self._idle.append((reader, writer, monotonic()))
                    writer = None
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            attempt.ended_at = monotonic()
            if writer is not None:
                writer.transport.abort()
        return attempt

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self._idle:
            reader, writer, since = self._idle.pop()
            if not reader.at_eof() and monotonic() - since < 8.0:
                return reader, writer
            writer.transport.abort()
        return await asyncio.open_connection(*self._address)
