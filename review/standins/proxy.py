"""A TCP proxy between a node and its worker, whose connections may go silent."""

import asyncio
from random import Random


class SilentProxy:
    """Forwards connections; silences open ones for good, while new ones work.

    Parameters
    ==========

    target : pair
        Address of the worker.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.address = ("127.0.0.1", 0)
        self._target = target
        self._open: set[_Pair] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Near(self, self._target), "127.0.0.1", 0
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    def silence(self, share: float, random: Random) -> tuple[int, int]:
        """Silence a share of the open connections; return how many of how many."""
        working = sorted((p for p in self._open if not p.silent), key=id)
        random.shuffle(working)
        chosen = working[: round(share * len(working))]
        for pair in chosen:
            pair.silent = True
        return len(chosen), len(working)


class _Pair:
    def __init__(self) -> None:
        self.silent = False


class _Near(asyncio.Protocol):
    """The side of the node."""

    def __init__(self, proxy: SilentProxy, target: tuple[str, int]) -> None:
        self.pair = _Pair()
        self._proxy = proxy
        self._target = target
        self._far: asyncio.Transport | None = None
        self._early: list[bytes] = []
        self._connecting: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._proxy._open.add(self.pair)
        self._connecting = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            self._far, _ = await loop.create_connection(
                lambda: _Far(self), *self._target
            )
        except OSError:
            self.transport.abort()
            return
        for data in self._early:
            self._far.write(data)
        self._early.clear()

    def data_received(self, data: bytes) -> None:
        if self.pair.silent:
            return
        if self._far is None:
            self._early.append(data)
        else:
            self._far.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        self._proxy._open.discard(self.pair)
        if self._far is not None and not self.pair.silent:
            self._far.abort()


class _Far(asyncio.Protocol):
    """The side of the worker."""

    def __init__(self, near: _Near) -> None:
        self._near = near

    def data_received(self, data: bytes) -> None:
        if not self._near.pair.silent:
            self._near.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        if not self._near.pair.silent:
            self._near.transport.abort()
