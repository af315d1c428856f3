"""Tests of the probe of an upstream, on loopback."""

import asyncio

import pytest
from rattanfork_core.clock import MonotonicClock
from rattanfork_node.app.prober import UpstreamProber
from rattanfork_node.http1 import HeaderNames
from rattanfork_node.http1.tests.breaking_server import BreakingServer
from rattanfork_node.http1.tests.broken_responses import RESPONSES, BreakableResponse

_HEALTHY = b"HTTP/1.1 200 OK\r\nRattanfork-Upstream: u1\r\nContent-Length: 0\r\n\r\n"
_LEAVING = b"HTTP/1.1 503 Leaving\r\nContent-Length: 0\r\n\r\n"


def test_copy_of_an_older_healthy_response_is_not_taken_for_the_next():
    """Guards against an upstream that is attached though it leaves.

    It sends a second copy of its first response in place of the next one.
    """
    probes = 0

    async def serve(reader, writer) -> None:
        nonlocal probes
        last = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                probes += 1
                writer.write(last)
                last = _HEALTHY if probes == 1 else _LEAVING
                if b"Connection: close" in head:
                    closing = b" OK\r\nConnection: close\r\n"
                    writer.write(last.replace(b" OK\r\n", closing))
                    break
                writer.write(last)
        except asyncio.IncompleteReadError:
            pass
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        prober = UpstreamProber(MonotonicClock(), *address, HeaderNames())
        assert await prober.ask("/health") == "u1"
        assert await prober.ask("/health") is None
        assert probes == 2
        prober.close()
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "name", ["length", "chunks", "until close", "interim", "two interim"]
)
def test_response_that_is_broken_off_is_no_health(name):
    """Guards against an upstream that is attached while it crashes."""
    response = RESPONSES[name]
    head = response.head.replace(b"Id: r1", b"Rattanfork-Upstream: u1")
    response = BreakableResponse(
        head, response.body, is_until_close=response.is_until_close
    )

    async def run() -> None:
        server = BreakingServer()
        await server.start()
        prober = UpstreamProber(MonotonicClock(), *server.address, HeaderNames())
        for size in server.breaks(response):
            assert await prober.ask("/health") is None, size
        server.resets, server.data = False, response.data
        assert await prober.ask("/health") == "u1"
        prober.close()
        server.stop()

    asyncio.run(run())
