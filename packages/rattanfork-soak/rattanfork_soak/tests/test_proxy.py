"""Faults that the proxy injects into connections."""

import asyncio
from functools import wraps

import pytest
from rattanfork_soak.proxy import LinkFault, LoopbackProxy


def with_proxy(test):
    """Decorate a test to run it with a proxy in front of an echo server."""

    @wraps(test)
    def run():
        async def inner():
            async def echo(reader, writer):
                while data := await reader.read(99):
                    received.append(data)
                    writer.write(data)

            received: list[bytes] = []
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            proxy = LoopbackProxy(server.sockets[0].getsockname()[:2], delay=0.01)
            await proxy.start()
            try:
                await test(proxy, received)
            finally:
                proxy.stop()
                server.close()

        asyncio.run(inner())

    del run.__wrapped__
    return run


async def connect(proxy: LoopbackProxy):
    return await asyncio.open_connection(*proxy.address)


async def send_and_receive(reader, writer, seconds: float = 5.0) -> bytes:
    """Send a byte; return the response, or nothing after a time-out."""
    writer.write(b"x")
    try:
        return await asyncio.wait_for(reader.read(9), seconds)
    except TimeoutError:
        return b""


@with_proxy
async def test_proxy_forwards_data_with_and_without_delay(proxy, received):
    reader, writer = await connect(proxy)
    assert await send_and_receive(reader, writer) == b"x"
    proxy.fault = LinkFault.DELAY
    assert await send_and_receive(reader, writer) == b"x"


@with_proxy
async def test_connection_stays_dead_after_silent_fault_and_new_ones_work(
    proxy, received
):
    reader, writer = await connect(proxy)
    assert await send_and_receive(reader, writer) == b"x"
    proxy.fault = LinkFault.SILENT
    assert await send_and_receive(reader, writer, 0.2) == b""
    proxy.fault = LinkFault.NONE
    assert await send_and_receive(reader, writer, 0.2) == b""
    assert await send_and_receive(*await connect(proxy)) == b"x"


@with_proxy
async def test_one_way_partition_passes_data_to_target_only(proxy, received):
    reader, writer = await connect(proxy)
    proxy.fault = LinkFault.ONE_WAY
    assert await send_and_receive(reader, writer, 0.2) == b""
    assert received == [b"x"]


@with_proxy
async def test_reset_fault_resets_open_and_new_connections(proxy, received):
    reader, writer = await connect(proxy)
    assert await send_and_receive(reader, writer) == b"x"
    proxy.fault = LinkFault.RESET
    with pytest.raises(ConnectionError):
        assert await reader.read(9)
    reader, writer = await connect(proxy)
    with pytest.raises(ConnectionError):
        assert await reader.read(9)
