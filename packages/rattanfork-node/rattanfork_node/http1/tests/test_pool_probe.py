"""Tests of the check whether an upstream accepts connections, over loopback."""

import asyncio

from rattanfork_core.clock import MonotonicClock

from rattanfork_node.http1 import UpstreamPool


async def _can_connect(on_connection) -> tuple[bool, int]:
    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    pool = UpstreamPool(MonotonicClock(), host, port, 4, b"id", frozenset())
    try:
        return await pool.can_connect(), pool.settled_connections
    finally:
        pool.close()
        server.close()


def test_listener_that_closes_connections_at_once_is_not_an_upstream():
    """Guards against a crash that is hidden by a device before the upstream."""

    async def close(reader, writer):
        writer.transport.abort()

    assert asyncio.run(_can_connect(close)) == (False, 0)


def test_connection_that_stays_open_leads_to_the_upstream():
    async def keep(reader, writer):
        await reader.read()
        writer.close()

    assert asyncio.run(_can_connect(keep)) == (True, 1)
