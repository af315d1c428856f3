"""Server on loopback that breaks off its responses."""

import asyncio
import socket
import struct

from rattanfork_node.http1.tests.broken_responses import BreakableResponse

#: Value of SO_LINGER with which closing a socket resets its connection.
_RESET = struct.pack("ii", 1, 0)


class BreakingServer:
    """Sends the same bytes in response to each request, and ends the connection."""

    def __init__(self) -> None:
        self.data = b""
        self.resets = False
        #: Number of requests received.
        self.requests = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self._server.sockets[0].getsockname()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def stop(self) -> None:
        """Close the listener."""
        self._server.close()

    def breaks(self, response: BreakableResponse):
        """Break off a response after each of its bytes, by a close and by a reset.

        Yields the number of bytes that are sent.
        """
        for self.resets in (False, True):
            for size in range(response.certain_bytes):
                self.data = response.data[:size]
                yield size

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if await reader.read(1 << 16):
            self.requests += 1
        writer.write(self.data)
        if self.resets:
            await asyncio.sleep(0)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        writer.close()
