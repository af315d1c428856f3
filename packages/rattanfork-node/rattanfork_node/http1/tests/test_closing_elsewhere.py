"""Tests of resets by the closes that do not linger, and of the bounds of lingering."""

import asyncio
import socket
from collections import Counter
from time import monotonic

import uvloop
from rattanfork_core.uploads import BodyBudget

from rattanfork_node.http1 import Exchange, UploadResources
from rattanfork_node.http1.tests.fakes import request
from rattanfork_node.http1.tests.test_closing import _BODY, LargeResponses, SlowClient

_UPLOAD_HEAD = (
    b"PUT /u/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: u1\r\n"
    b"Content-Length: 9000000\r\n\r\n"
)


class RefusedUploads(LargeResponses):
    """Refuses each upload at its head."""

    def on_head(self, exchange: Exchange) -> bool:
        exchange.respond(503)
        return True


def test_earlier_response_is_whole_although_an_upload_behind_it_is_refused():
    """Guards against a reset at the end of a drain, which truncates what precedes."""

    async def play() -> None:
        async with SlowClient() as client:
            client.handler = client.server.handler = RefusedUploads()
            client.server.uploads = UploadResources(BodyBudget(1 << 20), Counter())
            await client.send(request())
            await client.begin_to_read()
            await client.send(_UPLOAD_HEAD)
            await client.send(b"x" * 2000)
            await asyncio.sleep(1.1)
            await client.send(b"x" * 2000)
            received = await client.read_body()
            assert received.startswith(_BODY)

    uvloop.run(play())


def test_connection_whose_response_is_still_read_is_not_dropped_before_idle_ones():
    """Guards against a reset of a response that only the kernel still holds."""

    async def play() -> None:
        async with SlowClient() as client:
            await client.send(request())
            await client.begin_to_read()
            address = client._socket.getpeername()
            idle = socket.create_connection(address)
            await asyncio.sleep(0.05)
            client.server.max_connections = lambda: 2
            newest = socket.create_connection(address)
            await asyncio.sleep(0.05)
            await client.send(request(request_id="r2"))
            assert await client.read_body(len(_BODY)) == _BODY
            idle.close()
            newest.close()

    uvloop.run(play())


def test_request_in_the_socket_is_answered_although_connections_are_dropped():
    """Guards against a whole request that is reset unread to make room for others."""

    async def play() -> None:
        async with SlowClient() as client:
            address = client._socket.getpeername()
            idle = socket.create_connection(address)
            await asyncio.sleep(0.05)
            client.send_unread(request())
            client.server.max_connections = lambda: 1
            client.server.sweep()
            assert await client.read_body(len(_BODY)) == _BODY
            idle.close()

    uvloop.run(play())


def test_stream_client_that_pipelines_gets_a_response_that_its_kernel_acknowledged():
    """Guards against a reset once all is acknowledged and the client still reads."""

    async def play() -> None:
        async with SlowClient() as client:
            address = client._socket.getpeername()
            own = socket.socket()
            own.setblocking(False)
            own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            await asyncio.get_running_loop().sock_connect(own, address)
            reader, writer = await asyncio.open_connection(sock=own, limit=8 << 10)
            writer.write(request(more="Connection: close\r\n"))
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head
            ends_at = monotonic() + 1.5
            received = b""
            while monotonic() < ends_at:
                received += await reader.read(2000)
                writer.write(request(request_id="r2"))
                client.server.sweep()
                await asyncio.sleep(0.05)
            received += await reader.read(-1)
            writer.close()
            assert received == _BODY

    uvloop.run(play())


def test_client_that_sends_without_end_and_does_not_read_is_read_no_further():
    """Guards against a connection that costs processor time after its last response."""

    async def play() -> None:
        async with SlowClient() as client:
            await client.send(request(more="Connection: close\r\n"))
            sent, ends_at, part = 0, monotonic() + 1.0, b"x" * 65_536
            while monotonic() < ends_at:
                try:
                    sent += client._socket.send(part)
                except BlockingIOError:
                    await asyncio.sleep(0)
                except ConnectionError:
                    break
            assert sent < 32 << 20

    uvloop.run(play())
