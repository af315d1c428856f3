"""What the proxy does to connections."""

import asyncio
from functools import wraps

import pytest
from rattanfork_soak.proxy import Harm, LoopbackProxy


def with_proxy(test):
    """Run a test with a proxy in front of a server that echoes."""

    @wraps(test)
    def run():
        async def inner():
            async def echo(reader, writer):
                while data := await reader.read(99):
                    heard.append(data)
                    writer.write(data)

            heard: list[bytes] = []
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            proxy = LoopbackProxy(server.sockets[0].getsockname()[:2], delay=0.01)
            await proxy.start()
            try:
                await test(proxy, heard)
            finally:
                proxy.stop()
                server.close()

        asyncio.run(inner())

    del run.__wrapped__
    return run


async def connect(proxy: LoopbackProxy):
    return await asyncio.open_connection(*proxy.address)


async def hears(reader, writer, seconds: float = 5.0) -> bytes:
    """Return what comes back, or nothing within some seconds."""
    writer.write(b"x")
    try:
        return await asyncio.wait_for(reader.read(9), seconds)
    except TimeoutError:
        return b""


@with_proxy
async def test_it_passes_bytes_on_also_late(proxy, heard):
    reader, writer = await connect(proxy)
    assert await hears(reader, writer) == b"x"
    proxy.harm = Harm.DELAY
    assert await hears(reader, writer) == b"x"


@with_proxy
async def test_a_silenced_connection_stays_silent_and_new_ones_work(proxy, heard):
    reader, writer = await connect(proxy)
    assert await hears(reader, writer) == b"x"
    proxy.harm = Harm.SILENT
    assert await hears(reader, writer, 0.2) == b""
    proxy.harm = Harm.NONE
    assert await hears(reader, writer, 0.2) == b""
    assert await hears(*await connect(proxy)) == b"x"


@with_proxy
async def test_a_cut_in_one_way_lets_requests_through(proxy, heard):
    reader, writer = await connect(proxy)
    proxy.harm = Harm.ONE_WAY
    assert await hears(reader, writer, 0.2) == b""
    assert heard == [b"x"]


@with_proxy
async def test_a_reset_ends_old_connections_and_new_ones(proxy, heard):
    reader, writer = await connect(proxy)
    assert await hears(reader, writer) == b"x"
    proxy.harm = Harm.RESET
    with pytest.raises(ConnectionError):
        assert await reader.read(9)
    reader, writer = await connect(proxy)
    with pytest.raises(ConnectionError):
        assert await reader.read(9)
