"""Client's end of one connection: pipelines requests and records all that it sees."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress

from rattanfork_adapter.tests.fakes import REQUEST_ID, STAMP

from rattanfork_soak.exchange_record import ExchangeRecord
from rattanfork_soak.lost_check import SILENT

_READ_BYTES = 64 << 10
_CONNECT_TIMEOUT_S = 1.0
#: Time without a byte after which a client gives up; exceeds all limits of requests.
_SILENCE_S = 13.0


def response_body(request_id: str, size: int) -> bytes:
    """Return the body of a worker's response.

    Examples
    ========

    >>> response_body("a1", 7)
    b'a1 a1 a'
    """
    unit = f"{request_id} ".encode()
    return (unit * (size // len(unit) + 1))[:size]


class RecordingConnection:
    """A connection whose responses are read at a given rate.

    Parameters
    ==========

    address : pair
        Host and port of the node.
    now : callable
        Returns seconds from the start of the run.
    receive_buffer : int or None
        Size of the socket's receive buffer in bytes; None for the system's default.
    rate : float or None
        Bytes per second at which responses are read; None for no limit.
    """

    def __init__(
        self,
        address: tuple[str, int],
        now: Callable[[], float],
        receive_buffer: int | None = None,
        rate: float | None = None,
    ) -> None:
        self._address = address
        self._now = now
        self._receive_buffer = receive_buffer
        self._rate = rate
        self._socket = socket.socket()
        self._waiting: deque[tuple[ExchangeRecord, asyncio.Future]] = deque()
        self._received = b""
        self._left = False
        self._reader: asyncio.Task | None = None
        #: Whether the node said that it closes the connection, or has closed it.
        self.is_closing = False

    @property
    def is_idle(self) -> bool:
        """Whether a request can be sent and none waits for its response."""
        return not self._waiting and not self.is_closing

    async def open(self) -> bool:
        """Connect; return whether the node accepted the connection."""
        self._socket.setblocking(False)
        if self._receive_buffer is not None:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer
            )
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(self._socket, self._address)
        except (OSError, TimeoutError):
            self._socket.close()
            return False
        self._reader = asyncio.ensure_future(self._read())
        return True

    async def send(
        self, record: ExchangeRecord, parts: Iterable[bytes], pause: float = 0.0
    ) -> asyncio.Future:
        """Send a request in parts; return a future of the end of its exchange."""
        loop = asyncio.get_running_loop()
        ended = loop.create_future()
        record.began = self._now()
        record.behind = bool(self._waiting)
        if self._reader is None or self.is_closing:
            ended.set_result(None)
            return ended
        self._waiting.append((record, ended))
        with suppress(OSError):
            for part in parts:
                await loop.sock_sendall(self._socket, part)
                if pause:
                    await asyncio.sleep(pause)
            record.sent = self._now()
        return ended

    def end_sending(self) -> None:
        """Close the sending side only."""
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    async def close(self) -> None:
        """Close the connection; what still waits for a response was left."""
        if self._reader is None:
            return
        self._left = True
        self._reader.cancel()
        await asyncio.gather(self._reader, return_exceptions=True)

    async def _read(self) -> None:
        error = "cancelled"
        try:
            error = await self._read_responses()
        finally:
            self.is_closing = True
            self._socket.close()
            for record, ended in self._waiting:
                record.ended = self._now()
                record.error, record.left = error, self._left
                record.received = len(self._received)
                self._received = b""
                if not ended.done():
                    ended.set_result(None)

    async def _read_responses(self) -> str:
        """Read until the connection ends; return how it did."""
        loop = asyncio.get_running_loop()
        size = _READ_BYTES if self._rate is None else max(1000, int(self._rate / 20))
        while True:
            try:
                async with asyncio.timeout(_SILENCE_S if self._waiting else None):
                    part = await loop.sock_recv(self._socket, size)
            except TimeoutError:
                if self._waiting:
                    return SILENT
                continue
            except OSError as failure:
                return type(failure).__name__
            if not part:
                return "end"
            self._received += part
            while self._take_response():
                if self.is_closing and not self._waiting:
                    return "end"
            if self._rate is not None:
                await asyncio.sleep(len(part) / self._rate)

    def _take_response(self) -> bool:
        head, end, rest = self._received.partition(b"\r\n\r\n")
        if not end:
            return False
        lines = head.decode("latin-1").split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        if headers.get("connection", "").lower() == "close":
            self.is_closing = True
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return False
        self._received = rest[length:]
        if not self._waiting:
            raise AssertionError(f"response without a request: {lines}")
        record, ended = self._waiting.popleft()
        record.ended = self._now()
        record.status = int(lines[0].split()[1])
        record.stamped = STAMP.lower() in headers
        is_own = headers.get(REQUEST_ID.lower(), record.request_id) == record.request_id
        if record.stamped and record.status == 200:
            is_own &= rest[:length] == response_body(record.request_id, record.size)
        record.whole = is_own
        if not ended.done():
            ended.set_result(None)
        return True
