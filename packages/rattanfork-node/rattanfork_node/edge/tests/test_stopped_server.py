"""Tests of responses that callers of the own interface read while a node stops."""

import asyncio

from rattanfork_core.settings import LimitSettings
from rattanfork_node.edge.tests.test_server import LongIngress, _start


def test_response_that_is_being_sent_counts_as_in_flight():
    """Guards against a truncated response: the node exits while a caller reads."""

    async def run() -> None:
        server, port = await _start(LongIngress(), LimitSettings())
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1000)
        writer.write(b"GET /claims/get HTTP/1.1\r\nHost: h\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.2)
        server.drain()
        try:
            assert server.in_flight == 1
        finally:
            writer.close()
            await server.stop()

    asyncio.run(run())
