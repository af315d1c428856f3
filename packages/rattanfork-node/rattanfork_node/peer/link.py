"""One connection between two nodes."""

import asyncio
import os
from collections.abc import Callable
from typing import Any

import msgpack
from rattanfork_core.clock import Clock

from rattanfork_node.peer.errors import FrameError, LinkLostError
from rattanfork_node.peer.handler import PeerHandler
from rattanfork_node.peer.handshake import check_proof, make_proof, make_unpacker
from rattanfork_node.peer.messages import (
    ANSWERS,
    PROTOCOL_VERSION,
    BurnRequest,
    Call,
    Cancel,
    Challenge,
    ConfigurationRequest,
    EpochRequest,
    Fence,
    FenceKey,
    Hello,
    Message,
    Ping,
    Pong,
    RulesRequest,
    Run,
    RunReply,
    SyncRequest,
    Welcome,
    decode_message,
    encode_message,
)

#: Bytes taken from a peer that has not proved that it belongs.
_STRANGER_BYTES = 2048
#: Room in a frame beside the body.
_FRAME_ROOM = 256 << 10


class PeerLink(asyncio.Protocol):
    """One connection between two nodes, seen from either side.

    Explanation
    ===========

    The accepting side sends a challenge; both sides prove that they know the
    shared key before anything else is taken, and until then the buffer is
    small.  Answers are matched by their number on this connection alone, so
    an answer that comes late over an old connection finds no one waiting and
    is dropped: it can't reach another caller.

    The connecting side sends heartbeats and calls the connection silent when
    nothing has *arrived* for a while although something was asked.  Bytes
    that the kernel accepted prove nothing: a device between the two ends
    may have lost track of the connection.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    key : bytes
        The secret all nodes share.
    node : str
        This node's name.
    data_centre : str
        Where this node runs.
    handler : PeerHandler
        Takes what is asked of this node.
    body_limit : int
        Most bytes of a body.
    connecting : bool
        Whether this side opened the connection.
    """

    def __init__(
        self,
        clock: Clock,
        key: bytes,
        node: str,
        data_centre: str,
        handler: PeerHandler,
        body_limit: int,
        connecting: bool,
    ) -> None:
        self._clock = clock
        self._key = key
        self._node = node
        self._data_centre = data_centre
        self._handler = handler
        self._body_limit = body_limit
        self._connecting = connecting
        self._transport: asyncio.Transport | None = None
        self._nonce = os.urandom(16)
        self._connection = os.urandom(8).hex()
        self._peer = ""
        self._peer_data_centre = ""
        self._open = False
        self._closed = False
        self._number = 0
        self._waiting: dict[int, asyncio.Future] = {}
        self._callbacks: dict[int, Callable[[RunReply | None], None]] = {}
        self._unsent: list[bytes] = []
        self._ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._ready.add_done_callback(_retrieve)
        self._unpacker = make_unpacker(_STRANGER_BYTES)
        self._last_heard = clock.now()
        self._last_beat = clock.now()
        self._ping_sent = 0.0
        self._late_answers = 0
        self.calls: dict[int, Any] = {}

    @property
    def connection_id(self) -> str:
        """Identifies this connection to both ends."""
        return self._connection

    @property
    def peer(self) -> str:
        """The name that the other node has proved to hold the key under."""
        return self._peer

    @property
    def peer_data_centre(self) -> str:
        """Where the other node says it is."""
        return self._peer_data_centre

    @property
    def usable(self) -> bool:
        """Whether calls may be sent."""
        return self._open and not self._closed

    @property
    def closed(self) -> bool:
        """Whether the connection is gone."""
        return self._closed

    @property
    def late_replies(self) -> int:
        """Answers dropped because nobody waits for them."""
        return self._late_answers

    @property
    def idle_seconds(self) -> float:
        """Seconds since anything was heard."""
        return self._clock.now() - self._last_heard

    async def wait_ready(self) -> None:
        """Wait until both sides have proved that they belong.

        Raises
        ======

        LinkLostError
            If the connection is lost first.
        """
        await asyncio.shield(self._ready)

    def send(self, message: Message) -> None:
        """Send a message; does nothing on a connection that is gone."""
        if self._closed or self._transport is None:
            return
        self._unsent.append(encode_message(message))
        self._flush()

    def send_batched(self, message: Message) -> None:
        """Send a message with all others of this turn of the event loop.

        Under load the calls to the system cost more than the messages; one
        write for a turn saves most of them.  Order is kept.
        """
        if self._closed or self._transport is None:
            return
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(encode_message(message))

    def next_number(self) -> int:
        """Return the number for the next request on this connection."""
        self._number += 1
        return self._number

    def ask(self, message: Message) -> asyncio.Future:
        """Send a request; the future brings its answer or LinkLostError."""
        future = asyncio.get_running_loop().create_future()
        if not self.usable:
            future.set_exception(LinkLostError("the connection is gone"))
            return future
        self._waiting[message.number] = future
        self.send(message)
        return future

    def send_run(self, message: Run, done: Callable[[RunReply | None], None]) -> None:
        """Send a run; ``done`` gets its reply, or None if the link is lost.

        Without a future or a task for each, a run costs a third as much as
        by :meth:`ask`.
        """
        self._callbacks[message.number] = done
        self.send_batched(message)

    def forget(self, number: int) -> None:
        """Stop waiting for an answer."""
        self._waiting.pop(number, None)
        self._callbacks.pop(number, None)

    def heartbeat(self, silence: float, idle: float) -> None:
        """Ping if quiet, and close if silent; call several times a second.

        Parameters
        ==========

        silence : float
            Seconds without any answer after which the connection is lost.
        idle : float
            Seconds between heartbeats while nothing is asked.
        """
        if not self.usable or not self._connecting:
            return
        now = self._clock.now()
        slept = now - self._last_beat > silence / 2
        self._last_beat = now
        if slept or self._last_heard >= self._ping_sent:
            # After a pause of this process, answers may lie unread in the
            # socket: what looks like silence is not the peer's.
            self._ping_sent = 0.0
        if self._ping_sent:
            if now - self._ping_sent > 0.75 * silence:
                self.close("silent")
        elif now - self._last_heard > (silence / 4 if self._awaits else idle):
            # A call may run longer than the limit; the heartbeat is answered
            # at once, and so tells silence from work.
            self._ping_sent = now
            self.send(Ping(0))

    def close(self, reason: str) -> None:
        """Drop the connection at once; all that wait are told."""
        if self._transport is not None:
            self._transport.abort()
        self._lose(reason)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the handshake."""
        self._transport = transport
        if not self._connecting:
            self.send(Challenge(PROTOCOL_VERSION, self._nonce))

    def connection_lost(self, error: Exception | None) -> None:
        """Tell all that wait."""
        self._lose("closed by the other side" if error is None else str(error))

    def data_received(self, data: bytes) -> None:
        """Take in bytes."""
        self._last_heard = self._clock.now()
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                self._take(decode_message(frame))
                if self._closed:
                    return
        except (FrameError, msgpack.exceptions.UnpackException, ValueError) as error:
            # Nothing after a bad frame can be trusted to start at a frame.
            self._handler.on_bad_frame(str(error))
            self.close(f"bad frame: {error}")

    @property
    def _awaits(self) -> bool:
        return bool(self._waiting or self._callbacks)

    def _flush(self) -> None:
        unsent, self._unsent = self._unsent, []
        if unsent and not self._closed:
            self._transport.write(b"".join(unsent))

    def _take(self, message: Message) -> None:
        if not self._open:
            self._take_handshake(message)
        elif type(message) is RunReply:
            done = self._callbacks.pop(message.number, None)
            if done is None:
                self._late_answers += 1
            else:
                done(message)
        elif isinstance(message, ANSWERS):
            future = self._waiting.pop(message.number, None)
            if future is None or future.done():
                self._late_answers += 1
            else:
                future.set_result(message)
        elif isinstance(message, Ping):
            self.send(Pong(message.number))
        elif isinstance(message, Pong):
            pass
        elif self._connecting:
            raise FrameError(f"{type(message).__name__} is not expected here")
        else:
            self._take_request(message)

    def _take_request(self, message: Message) -> None:
        handler = self._handler
        if isinstance(message, Run):
            handler.on_run(self, message)
        elif isinstance(message, Call):
            handler.on_call(self, message)
        elif isinstance(message, Cancel):
            handler.on_cancel(self, message.number)
        elif isinstance(message, Fence | FenceKey):
            handler.on_fence(self, message)
        elif isinstance(message, RulesRequest):
            handler.on_rules(self, message)
        elif isinstance(message, SyncRequest):
            handler.on_sync(self, message)
        elif isinstance(message, BurnRequest):
            handler.on_burn(self, message)
        elif isinstance(message, EpochRequest):
            handler.on_epoch(self, message)
        elif isinstance(message, ConfigurationRequest):
            handler.on_configuration(self, message)
        else:
            raise FrameError(f"{type(message).__name__} is not expected here")

    def _take_handshake(self, message: Message) -> None:
        if self._connecting and isinstance(message, Challenge):
            if message.version != PROTOCOL_VERSION:
                raise FrameError("another version of the protocol")
            proof = self._proof(b"hello", message.nonce, self._nonce, self._node)
            self.send(
                Hello(
                    PROTOCOL_VERSION, self._node, self._connection, self._nonce, proof
                )
            )
        elif self._connecting and isinstance(message, Welcome):
            expected = self._proof(b"welcome", self._nonce, b"", message.node)
            check_proof(message.proof, expected)
            self._peer, self._peer_data_centre = message.node, message.data_centre
            self._opened()
        elif not self._connecting and isinstance(message, Hello):
            if message.version != PROTOCOL_VERSION:
                raise FrameError("another version of the protocol")
            expected = self._proof(b"hello", self._nonce, message.nonce, message.node)
            check_proof(message.proof, expected)
            self._peer, self._connection = message.node, message.connection
            proof = self._proof(b"welcome", message.nonce, b"", self._node)
            self.send(Welcome(self._node, self._data_centre, proof))
            self._opened()
        else:
            raise FrameError("a stranger")

    def _proof(self, role: bytes, first: bytes, second: bytes, node: str) -> bytes:
        return make_proof(self._key, role, first, second, node)

    def _opened(self) -> None:
        self._open = True
        # The handshake is strictly one message at a time, so nothing can
        # wait in the small unpacker that is replaced here.
        self._unpacker = make_unpacker(self._body_limit + _FRAME_ROOM)
        if not self._ready.done():
            self._ready.set_result(None)
        if not self._connecting:
            self._handler.on_open(self)

    def _lose(self, reason: str) -> None:
        if self._closed:
            return
        self._closed = True
        error = LinkLostError(reason)
        if not self._ready.done():
            self._ready.set_exception(error)
        waiting, self._waiting = self._waiting, {}
        for future in waiting.values():
            if not future.done():
                future.set_exception(LinkLostError(reason))
        callbacks, self._callbacks = self._callbacks, {}
        for done in callbacks.values():
            done(None)
        if not self._connecting:
            self._handler.on_closed(self)


def _retrieve(future: asyncio.Future) -> None:
    if not future.cancelled():
        future.exception()
