"""A reserved port stays available to its process, and to no other."""

import asyncio
import socket

import pytest
from rattanfork_testkit.ports import FreePorts


def test_reserved_port_can_be_reused_by_its_process_only():
    """Guards against a port that is taken while its process restarts.

    Another socket cannot bind the reserved port; a listener can, repeatedly.
    """
    ports = FreePorts()
    port = ports.reserve()
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", port))

    async def listen() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", port)
        server.close()

    asyncio.run(listen())
    asyncio.run(listen())
