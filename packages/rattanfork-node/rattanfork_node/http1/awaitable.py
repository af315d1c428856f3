"""Coroutines over the callbacks of a connection pool."""

import asyncio

from rattanfork_node.http1.pool import UpstreamPool
from rattanfork_node.http1.upstream import UpstreamConnection
from rattanfork_node.http1.upstream_response import UpstreamResponse


async def acquire_connection(
    pool: UpstreamPool, retryable: bool = True, request_id: bytes = b""
) -> UpstreamConnection:
    """Return a connection of a pool, to be used before anything else is awaited.

    Raises
    ======

    ConnectionError
        If there is none, or it was closed meanwhile; nothing was sent.
    """
    future = asyncio.get_running_loop().create_future()

    def on_connection(connection: UpstreamConnection | None) -> None:
        if not future.done():
            future.set_result(connection)
        elif connection is not None:
            pool.release(connection)

    pool.acquire(on_connection, retryable, request_id)
    try:
        connection = await future
    except asyncio.CancelledError:
        if future.done() and not future.cancelled() and future.result() is not None:
            pool.release(future.result())
        raise
    if connection is None or not connection.usable:
        raise ConnectionError("no connection to the server available")
    return connection


async def send_request(
    connection: UpstreamConnection,
    data: bytes,
    request_id: bytes = b"",
    is_head: bool = False,
) -> UpstreamResponse | None:
    """Send a request and return its response; None if the connection was closed.

    If it is cancelled, it closes the connection: its late response would be taken for
    that of the next request.
    """
    future = asyncio.get_running_loop().create_future()

    def on_response(response: UpstreamResponse | None) -> None:
        if not future.done():
            future.set_result(response)

    connection.send(data, request_id, on_response, is_head)
    try:
        return await future
    except asyncio.CancelledError:
        connection.abort()
        raise
