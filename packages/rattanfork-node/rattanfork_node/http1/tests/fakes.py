"""Fake transport, handler and client for tests without sockets."""

import asyncio

from rattanfork_core.clock import ManualClock

from rattanfork_node.http1 import (
    Exchange,
    HeaderNames,
    HttpServer,
    RequestHandler,
    RequestLimits,
    ServerConnection,
)


class FakeTransport(asyncio.Transport):
    """Transport that records the written bytes.

    ``closed`` tells whether the client sees the end of the responses.
    """

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False
        self.aborted = False
        self.reading = True
        self.unsent_bytes = 0

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        self.closed = True

    def write_eof(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.aborted = True

    def is_closing(self) -> bool:
        return self.closed or self.aborted

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes


class RecordingHandler(RequestHandler):
    """Handler that records its requests."""

    def __init__(self) -> None:
        self.handled: list[Exchange] = []

    def on_request(self, exchange: Exchange) -> None:
        self.handled.append(exchange)


class Client:
    """A client connection to a server with a recording handler."""

    def __init__(self, limits: RequestLimits | None = None) -> None:
        self.clock = ManualClock(100.0)
        self.handler = RecordingHandler()
        self.server = HttpServer(
            self.clock, HeaderNames(), limits or RequestLimits(), self.handler
        )
        self.transport = FakeTransport()
        self.connection = ServerConnection(self.server)
        self.connection.connection_made(self.transport)

    @property
    def handled(self) -> list[Exchange]:
        return self.handler.handled

    @property
    def statuses(self) -> list[int]:
        lines = self.transport.written.split(b"\r\n")
        return [int(line.split()[1]) for line in lines if line.startswith(b"HTTP/1.1")]

    def send(self, data: bytes) -> None:
        self.connection.data_received(data)


def request(path: str = "/a/", request_id: str = "r1", more: str = "") -> bytes:
    return (
        f"GET {path} HTTP/1.1\r\nHost: h.example:80\r\n"
        f"Rattanfork-Request-Id: {request_id}\r\n{more}\r\n"
    ).encode()
