"""TCP proxy on loopback that injects network faults."""

import asyncio
import struct
from enum import Enum
from socket import SO_LINGER, SOL_SOCKET


class LinkFault(Enum):
    """Network fault that a proxy injects."""

    NONE = "none"
    #: Each chunk is forwarded late.
    DELAY = "delayed"
    #: Open and new connections are reset.
    RESET = "reset"
    #: Data is discarded in both directions without an error (partition).
    SILENT = "silent"
    #: Data from the target is discarded, data to it passes (one-way partition).
    ONE_WAY = "cut one way"


_CHUNK_BYTES = 64 << 10


class LoopbackProxy:
    """Forwards TCP connections to one address on loopback.

    Parameters
    ==========

    target : pair
        Host and port to forward to.
    delay : float
        Seconds by which :attr:`LinkFault.DELAY` delays each chunk.
    """

    def __init__(self, target: tuple[str, int], delay: float = 0.15) -> None:
        self.target = target
        self.address = ("127.0.0.1", 0)
        self._delay = delay
        self._fault = LinkFault.NONE
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def fault(self) -> LinkFault:
        """The fault that is injected now."""
        return self._fault

    @fault.setter
    def fault(self, fault: LinkFault) -> None:
        self._fault = fault
        if fault is LinkFault.RESET:
            self._abort_all()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self._abort_all()

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            _reset(writer)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault is LinkFault.RESET:
            _reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            _reset(writer)
            return
        pair = {writer, target_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, from_target=False),
                self._copy(target_reader, writer, from_target=True),
            )
        except OSError:
            # One end was reset; the other one is aborted as well.
            pass
        finally:
            self._writers -= pair
            for each in pair:
                each.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        from_target: bool,
    ) -> None:
        dropped = False
        while data := await reader.read(_CHUNK_BYTES):
            fault = self._fault
            # Like a device that lost its connection state: the connection stays dead
            # after the fault ends.
            dropped |= fault is LinkFault.SILENT or (
                from_target and fault is LinkFault.ONE_WAY
            )
            if dropped:
                continue
            if fault is LinkFault.DELAY:
                await asyncio.sleep(self._delay)
            if writer.is_closing():
                return
            writer.write(data)
            await writer.drain()
        if not dropped and not writer.is_closing():
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with RST instead of FIN."""
    linger = struct.pack("ii", 1, 0)
    if not writer.is_closing():
        writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, linger)
    writer.transport.abort()
