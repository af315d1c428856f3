"""Ports for processes that are started again."""

import asyncio
import socket

import pytest
from rattanfork_testkit.ports import FreePorts


def test_a_port_is_kept_while_its_process_is_down():
    """A node is killed, and before it is back somebody else wants a port.

    Whoever did not get the port from here is turned away; the node itself can
    listen on it again.
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
