"""A loopback proxy whose connections can be harmed."""

import asyncio
import struct
from enum import Enum
from socket import SO_LINGER, SOL_SOCKET


class Harm(Enum):
    """What a proxy does to what passes through it."""

    NONE = "none"
    #: Each piece is passed on late.
    DELAY = "delayed"
    #: Connections are reset, and new ones too.
    RESET = "reset"
    #: Nothing passes, and nobody is told.
    SILENT = "silent"
    #: What comes back does not pass; what is sent does.
    ONE_WAY = "cut one way"


_PIECE = 64 << 10


class LoopbackProxy:
    """Passes bytes between whoever connects and one address on loopback.

    Parameters
    ==========

    target : pair
        Host and port that connections are passed on to.
    delay : float
        Seconds by which pieces are late under :attr:`Harm.DELAY`.
    """

    def __init__(self, target: tuple[str, int], delay: float = 0.15) -> None:
        self.target = target
        self.address = ("127.0.0.1", 0)
        self._delay = delay
        self._harm = Harm.NONE
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def harm(self) -> Harm:
        """What is done to connections now."""
        return self._harm

    @harm.setter
    def harm(self, harm: Harm) -> None:
        self._harm = harm
        if harm is Harm.RESET:
            self._abort_all()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._pass_on, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Stop listening and reset what is open."""
        self._server.close()
        self._abort_all()

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            _reset(writer)

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._harm is Harm.RESET:
            _reset(writer)
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            _reset(writer)
            return
        pair = {writer, up_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pump(reader, up_writer, back=False),
                self._pump(up_reader, writer, back=True),
            )
        except OSError:
            # One end was reset; the other end must see the same.
            pass
        finally:
            self._writers -= pair
            for each in pair:
                each.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, back: bool
    ) -> None:
        lost = False
        while data := await reader.read(_PIECE):
            harm = self._harm
            # A device that has lost track of a connection never finds it again.
            lost |= harm is Harm.SILENT or (back and harm is Harm.ONE_WAY)
            if lost:
                continue
            if harm is Harm.DELAY:
                await asyncio.sleep(self._delay)
            if writer.is_closing():
                return
            writer.write(data)
            await writer.drain()
        if not lost and not writer.is_closing():
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """End a connection so that the other end sees a reset, not an orderly end."""
    linger = struct.pack("ii", 1, 0)
    if not writer.is_closing():
        writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, linger)
    writer.transport.abort()
