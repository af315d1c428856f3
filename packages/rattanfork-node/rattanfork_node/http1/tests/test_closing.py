"""Tests of responses that clients still read when their connection is closed.

They use sockets, as only the kernel resets a connection.
"""

import asyncio
import socket
from collections import Counter

import pytest
import uvloop
from rattanfork_core.clock import MonotonicClock
from rattanfork_core.uploads import BodyBudget

from rattanfork_node.http1 import (
    Exchange,
    HeaderNames,
    HttpServer,
    RequestHandler,
    RequestLimits,
    UploadResources,
)
from rattanfork_node.http1.tests.fakes import request
from rattanfork_node.http1.tests.upload_client import BODY, head

#: Much more than the receive buffer of the client.
_BODY = b"x" * 400_000
_RECEIVE_BUFFER_BYTES = 16 << 10
_WAIT_LIMIT_S = 10.0


class LargeResponses(RequestHandler):
    """Answers each request with a large response."""

    def __init__(self) -> None:
        self.handled: list[Exchange] = []

    def on_request(self, exchange: Exchange) -> None:
        self.handled.append(exchange)
        exchange.respond(200, body=_BODY)

    def on_head(self, exchange: Exchange) -> bool:
        exchange.respond(503)
        return True


class SlowClient:
    """A client that starts to read a response and sends more before its end."""

    def __init__(self) -> None:
        self.handler = LargeResponses()
        self.server = HttpServer(
            MonotonicClock(), HeaderNames(), RequestLimits(), self.handler
        )
        self.server.uploads = UploadResources(BodyBudget(1 << 20), Counter())
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._received = b""

    async def __aenter__(self) -> "SlowClient":
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = unused.getsockname()
        await self.server.start(*address)
        await asyncio.get_running_loop().sock_connect(self._socket, address)
        await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *failure: object) -> None:
        self.server.stop()
        self._socket.close()

    async def leave(self) -> None:
        self._socket.close()
        await asyncio.sleep(0.05)

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self._socket, data)
        await asyncio.sleep(0.05)

    def send_unread(self, data: bytes) -> None:
        """Send without a turn of the event loop, in which the server would read."""
        self._socket.send(data)

    async def begin_to_read(self) -> None:
        loop = asyncio.get_running_loop()
        self._received = await loop.sock_recv(self._socket, 1000)

    async def read_body(self, size: int | None = None) -> bytes:
        """Return what follows the first head, up to a size or the end."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(_WAIT_LIMIT_S):
            while size is None or len(self._body) < size:
                part = await loop.sock_recv(self._socket, 20_000)
                if not part:
                    break
                self._received += part
                await asyncio.sleep(0.001)
        return self._body[:size]

    @property
    def _body(self) -> bytes:
        return self._received.partition(b"\r\n\r\n")[2]


def _leave(server: HttpServer) -> None:
    server.leave()


def _close_idle(server: HttpServer) -> None:
    server.limits = RequestLimits(idle_timeout=0.0)
    server.sweep()


@pytest.mark.parametrize("close", [_leave, _close_idle])
def test_response_is_whole_although_its_client_sends_more_after_the_close(close):
    """Guards against a reset that truncates a response which is still being read."""

    async def play() -> None:
        async with SlowClient() as client:
            await client.send(request())
            await client.begin_to_read()
            close(client.server)
            await client.send(request(request_id="r2"))
            assert await client.read_body() == _BODY
            assert [e.request_id for e in client.handler.handled] == [b"r1"]

    uvloop.run(play())


def test_last_response_is_whole_although_its_client_sends_more():
    """Guards against a reset after a response that announced the close."""

    async def play() -> None:
        async with SlowClient() as client:
            await client.send(request(more="Connection: close\r\n"))
            await client.begin_to_read()
            await client.send(request(request_id="r2"))
            assert await client.read_body() == _BODY

    uvloop.run(play())


def test_response_before_a_refused_body_is_whole_once_the_body_was_read():
    """Guards against a reset at the end of a body that was read to be discarded."""

    async def play() -> None:
        async with SlowClient() as client:
            await client.send(request())
            await client.begin_to_read()
            await client.send(head() + BODY)
            await client.send(request(request_id="r2"))
            received = await client.read_body()
            assert received[: len(_BODY)] == _BODY
            assert received[len(_BODY) :].startswith(b"HTTP/1.1 503 ")

    uvloop.run(play())


def test_request_in_the_socket_is_answered_when_the_server_leaves():
    """Guards against a whole request that is discarded unread after a stall."""

    async def play() -> None:
        async with SlowClient() as client:
            client.send_unread(request())
            client.server.leave()
            assert await client.read_body() == _BODY
            await client.leave()
            assert not client.server.connections

    uvloop.run(play())
