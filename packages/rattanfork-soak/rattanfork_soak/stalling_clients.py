"""Clients that stall: within a head, within a body, or before their first byte."""

import asyncio
from collections import deque
from random import Random

from rattanfork_adapter.tests.fakes import DEADLINE

from rattanfork_soak.site import Site

#: Connections that stay open at a time; the oldest is closed for a new one.
_MAX_OPEN = 60
#: Bounds of the time between two new connections, in seconds.
_INTERVAL_S = (0.02, 0.2)
_HEAD = f"POST /p/x HTTP/1.1\r\nHost: h.example\r\n{DEADLINE}: 3000\r\n".encode()


class StallingClients:
    """Opens connections that never bring a whole request.

    Parameters
    ==========

    sites : list of Site
        The nodes that they are opened at.
    random : Random
        Source of times, nodes and kinds.
    """

    def __init__(self, sites: list[Site], random: Random) -> None:
        self._sites = sites
        self._random = random
        self._open: deque[asyncio.StreamWriter] = deque()

    async def run(self) -> None:
        """Open connections until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._random.uniform(*_INTERVAL_S))
                await self._connect(self._random.choice(self._sites))
        finally:
            for writer in self._open:
                writer.close()

    async def _connect(self, site: Site) -> None:
        data = self._random.choice(
            (
                b"",
                _HEAD,
                _HEAD + b"X: y\r\n" * 1000,
                _HEAD + b"Content-Length: 64000\r\n\r\n" + b"b" * 60_000,
                _HEAD + b"Content-Length: 2000000\r\n\r\n" + b"b" * 1_900_000,
                _HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 5000,
            )
        )
        try:
            async with asyncio.timeout(1.0):
                _, writer = await asyncio.open_connection(*site.address)
        except (OSError, TimeoutError):
            return
        writer.write(data)
        self._open.append(writer)
        if len(self._open) > _MAX_OPEN:
            self._open.popleft().transport.abort()
