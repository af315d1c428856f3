"""Protocol of one connection between two nodes, for either side."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgpack
from rattanfork_core.clock import Clock
from rattanfork_core.connections import ResponseBudget
from rattanfork_core.request import Outcome, Reason

from rattanfork_node.http1 import BodyReader
from rattanfork_node.kernel_queues import undelivered_bytes
from rattanfork_node.peer.body_messages import BodyCredit, BodyPart, BodyStart
from rattanfork_node.peer.body_sender import BodySender
from rattanfork_node.peer.errors import FrameError, LinkLostError
from rattanfork_node.peer.handler import PeerHandler
from rattanfork_node.peer.handshake import make_unpacker
from rattanfork_node.peer.link_handshake import LinkHandshake
from rattanfork_node.peer.messages import (
    MESSAGE_LEVEL,
    REPLIES,
    BurnRequest,
    Call,
    Cancel,
    ConfigurationRequest,
    EpochRequest,
    Fence,
    FenceKey,
    Message,
    Ping,
    Pong,
    RulesRequest,
    Run,
    RunReply,
    SyncRequest,
    decode_message,
    encode_message,
)
from rattanfork_node.peer.pending_replies import LateReply, PendingReplies
from rattanfork_node.peer.reply_bodies import OutgoingReplyBody, ReplyBodyReceiver
from rattanfork_node.peer.retirement_messages import (
    PersistRequest,
    RetirementsRequest,
)

#: Methods of :class:`PeerHandler`, by the type of the request that they handle.
_HANDLER_METHODS: dict[type, str] = {
    Run: "on_run",
    Call: "on_call",
    Fence: "on_fence",
    FenceKey: "on_fence",
    RulesRequest: "on_rules",
    SyncRequest: "on_sync",
    BurnRequest: "on_burn",
    EpochRequest: "on_epoch",
    ConfigurationRequest: "on_configuration",
    RetirementsRequest: "on_retirements",
    PersistRequest: "on_persist",
    BodyStart: "on_body_start",
    BodyPart: "on_body_part",
}
#: Receive buffer until the peer has proved that it has the shared key.
_HANDSHAKE_BUFFER_BYTES = 2048
#: Maximum bytes of a frame besides the body, such as headers.
_FRAME_OVERHEAD_BYTES = 256 << 10
#: Seconds for which replies of a silent peer are waited for.
_MAX_SILENCE_S = 5.0
#: Bytes that wait to be written at which no more parts of bodies are sent.
_WRITE_BUFFER_BYTES = 128 << 10


class PeerLink(asyncio.Protocol):
    """Protocol of one connection between two nodes, for either side.

    Explanation
    ===========

    The accepting side sends a challenge.  Both sides prove that they have the
    shared key before any other message is accepted, and until then the receive
    buffer is small.

    Replies are matched to requests by a number that is local to the connection.
    A late reply, or one on an old connection, matches no pending request and is
    dropped, so it can't reach another caller.

    The connecting side sends pings and uses the connection no more if no data *arrives*
    within the silence timeout although a request or ping is pending.  Successful
    writes prove nothing: the kernel accepts them even if a device between the two
    ends has dropped the state of the connection.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    key : bytes
        Secret shared by all nodes.
    node : str
        This node's name.
    data_centre : str
        Data centre of this node.
    handler : PeerHandler
        Handles requests from the peer.
    max_body_bytes : int
        Maximum size of a body.
    connecting : bool
        Whether this side opened the connection.
    responses : ResponseBudget, optional
        Budget of this node for responses.
    """

    def __init__(
        self,
        clock: Clock,
        key: bytes,
        node: str,
        data_centre: str,
        handler: PeerHandler,
        max_body_bytes: int,
        connecting: bool,
        responses: ResponseBudget | None = None,
    ) -> None:
        self._responses = ResponseBudget() if responses is None else responses
        self._clock = clock
        self._handshake = LinkHandshake(key, node, data_centre, connecting)
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._is_client = connecting
        self._transport: asyncio.Transport | None = None
        self._closed = False
        self._is_finished = False
        self._last_number = 0
        #: Highest number of a request that was written to the transport.
        self._last_written = 0
        self._pending = PendingReplies()
        #: When the peer became silent; None before.
        self._silent_since: float | None = None
        self._unsent: list[bytes] = []
        self._ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._ready.add_done_callback(_consume_exception)
        self._unpacker = make_unpacker(_HANDSHAKE_BUFFER_BYTES)
        self._last_received = clock.now()
        self._last_heartbeat = clock.now()
        self._ping_sent_at = 0.0
        self._peer_level = 0
        self._bodies = BodySender(self.send)
        self._reply_bodies = ReplyBodyReceiver(
            self._responses, self.send, self._deliver, self._deliver_without_body
        )
        #: Tasks or jobs of the peer's requests by number, kept by the handler.
        self.calls: dict[int, Any] = {}
        #: Bodies that arrive in parts, by the number of their run, kept by the handler.
        self.bodies: dict[int, Any] = {}

    @property
    def connection_id(self) -> str:
        """ID of this connection, known to both sides."""
        return self._handshake.connection_id

    @property
    def peer(self) -> str:
        """Member name of the peer, covered by its proof."""
        return self._handshake.peer

    @property
    def peer_data_centre(self) -> str:
        """Data centre that the peer reported."""
        return self._handshake.peer_data_centre

    @property
    def peer_level(self) -> int:
        """Message level of the peer; 0 while unknown."""
        return self._peer_level

    @property
    def usable(self) -> bool:
        """Whether requests may be sent."""
        is_open = not self._closed and self._silent_since is None
        return is_open and self._handshake.is_complete

    @property
    def closed(self) -> bool:
        """Whether the connection was lost or closed."""
        return self._closed

    @property
    def has_pending(self) -> bool:
        """Whether a request of this node waits for its reply."""
        return bool(self._pending)

    @property
    def late_replies(self) -> int:
        """Replies dropped because no request was pending for them."""
        return self._pending.dropped

    @property
    def idle_seconds(self) -> float:
        """Seconds since data was last received."""
        return self._clock.now() - self._last_received

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the transport was not given or still holds, with all bodies."""
        if self._closed:
            return 0
        unsent = self._transport.get_write_buffer_size() + sum(map(len, self._unsent))
        return unsent + self._bodies.remaining_bytes

    @property
    def waiting_bodies(self) -> int:
        """Number of bodies of which not all was sent."""
        return 0 if self._closed else self._bodies.count

    @property
    def undelivered_bytes(self) -> int:
        """Bytes that the peer has not acknowledged, with the bodies that it will get.

        Closing the connection may discard them.
        """
        if self._closed:
            return 0
        return self.unsent_bytes + undelivered_bytes(self._transport)

    @property
    def is_writable(self) -> bool:
        """Whether the peer reads what it is sent."""
        return self._bodies.is_writable

    async def wait_ready(self) -> None:
        """Wait until the handshake is complete.

        Raises
        ======

        LinkLostError
            If the connection is lost before.
        """
        await asyncio.shield(self._ready)

    def send(self, message: Message) -> None:
        """Send a message; ignored if the connection is closed."""
        if self._closed or self._is_finished or self._transport is None:
            return
        self._unsent.append(encode_message(message))
        self._flush()

    def send_batched(self, message: Message) -> None:
        """Send a message in one write with others of this event loop iteration.

        Under load, system calls cost more CPU time than encoding; one write per
        iteration avoids most of them.  Messages keep their order.
        """
        if self._closed or self._is_finished or self._transport is None:
            return
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(encode_message(message))

    def next_number(self) -> int:
        """Return a new request number of this connection."""
        self._last_number += 1
        return self._last_number

    def ask(self, message: Message) -> asyncio.Future:
        """Send a request; the future gets its reply or LinkLostError."""
        if not self.usable:
            future = asyncio.get_running_loop().create_future()
            future.set_exception(LinkLostError("the connection is closed"))
            return future
        future = self._pending.add(message.number)
        self.send(message)
        return future

    def send_run(self, message: Run, done: Callable[[RunReply | None], None]) -> None:
        """Send a run; ``done`` gets its reply, or None if the link is lost.

        A callback in place of a future and a task cuts the cost of a run to a
        third of that of :meth:`ask`.
        """
        self._pending.add_run(message.number, done)
        self.send_batched(message)

    def send_body(self, number: int, reader: BodyReader, fingerprint: int) -> None:
        """Send the body of a run in parts; the run itself has to follow."""
        self._bodies.add(number, reader)
        self.send_batched(BodyStart(number, reader.size, fingerprint))

    def send_reply(self, reply: RunReply, parts: list[bytes]) -> None:
        """Send a reply whose body follows in parts."""
        number = reply.number
        body = OutgoingReplyBody(
            parts, self._responses, lambda: self._on_reply_body_evicted(number)
        )
        self._bodies.add(number, body)
        self.send_batched(BodyStart(number, body.size, 0))
        self.send_batched(reply)
        body.hold()

    def take_reply_body(self) -> list[bytes] | None:
        """Return the body of the reply that is being handled, if it came in parts."""
        return self._reply_bodies.take()

    def was_written(self, number: int) -> bool:
        """Return whether the message of a number was written to the transport.

        One that was not is dropped when the connection is lost, so the peer never
        receives it.  One that was written may have been received.
        """
        return number <= self._last_written

    def keep(self, number: int) -> asyncio.Future[LateReply | None]:
        """Return the reply to a run that a silent peer may still send, or None."""
        if self._silent_since is None or self._closed:
            future = asyncio.get_running_loop().create_future()
            future.set_result(None)
            return future
        return self._pending.keep(number)

    def forget(self, number: int) -> None:
        """Remove a pending request; its reply is dropped as late."""
        self._pending.forget(number)
        self._bodies.drop(number)
        if self._reply_bodies.drop(number):
            self.send(Cancel(number))

    def heartbeat(self, silence: float, idle: float) -> None:
        """Ping an idle peer and close on timeout; call several times a second.

        Parameters
        ==========

        silence : float
            Silence timeout: seconds without data from the peer.
        idle : float
            Seconds between pings while no request is pending.
        """
        if self._silent_since is not None:
            self._end_silence()
        if not self.usable or not self._is_client:
            return
        now = self._clock.now()
        paused = now - self._last_heartbeat > silence / 2
        self._last_heartbeat = now
        if paused or self._last_received >= self._ping_sent_at:
            # After a pause of this process, replies may be unread in the socket
            # buffer, so the time without data does not count against the peer.
            self._ping_sent_at = 0.0
        if self._ping_sent_at:
            if now - self._ping_sent_at > 0.75 * silence:
                self._suspend("no reply to a ping within the silence timeout")
        elif now - self._last_received > (silence / 4 if self.has_pending else idle):
            # A request may take longer than the silence timeout.  A ping is
            # answered at once, which distinguishes a busy peer from a lost one.
            self._ping_sent_at = now
            self.send(Ping(MESSAGE_LEVEL))

    def close(self, reason: str) -> None:
        """Abort the connection and fail all pending requests."""
        if not self._closed:
            self._report_unfinished(reason)
        if self._transport is not None:
            self._transport.abort()
        self._mark_lost(reason)

    def finish(self) -> None:
        """Send no more, and drop what is received until the peer closes as well.

        Closed at once, the connection would be reset by the peer's next message, and
        the peer may fail to read replies that its kernel holds.
        """
        if self._closed or self._is_finished:
            return
        self._flush()
        self._is_finished = True
        self._transport.write_eof()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake."""
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        if not self._is_client:
            self.send(self._handshake.challenge())

    def connection_lost(self, error: Exception | None) -> None:
        """Fail all pending requests."""
        reason = "closed by the peer" if error is None else str(error)
        if not self._closed:
            self._report_unfinished(reason)
        self._mark_lost(reason)

    def pause_writing(self) -> None:
        """Send no more parts of bodies: the peer does not read."""
        self._bodies.set_writable(False)

    def resume_writing(self) -> None:
        """Go on sending parts of bodies."""
        self._bodies.set_writable(True)

    def data_received(self, data: bytes) -> None:
        """Decode frames and dispatch their messages."""
        self._last_received = self._clock.now()
        if self._is_finished:
            return
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                self._handle(decode_message(frame))
                if self._closed:
                    return
        except (FrameError, msgpack.exceptions.UnpackException, ValueError) as error:
            # After a bad frame the start of the next one is not known.
            self._handler.on_bad_frame(str(error))
            self.close(f"bad frame: {error}")

    def _flush(self) -> None:
        unsent, self._unsent = self._unsent, []
        if unsent and not self._closed:
            self._last_written = self._last_number
            self._transport.write(b"".join(unsent))

    def _handle(self, message: Message) -> None:
        """Dispatch a message; an error in its handling costs no other message."""
        try:
            self._dispatch(message)
        except FrameError:
            raise
        except Exception as error:
            if not self._handshake.is_complete:
                raise
            self._handler.on_error(self, error)

    def _dispatch(self, message: Message) -> None:
        if not self._handshake.is_complete:
            self._advance_handshake(message)
        elif type(message) is RunReply:
            self._bodies.drop(message.number)
            if not self._reply_bodies.on_reply(message):
                self._deliver(message)
        elif self._is_client and type(message) is BodyStart:
            if self._pending.expects_run(message.number):
                self._reply_bodies.on_start(message)
            else:
                self.send(Cancel(message.number))
        elif self._is_client and type(message) is BodyPart:
            self._reply_bodies.on_part(message)
        elif isinstance(message, REPLIES):
            self._pending.resolve(message)
        elif type(message) is BodyCredit:
            self._bodies.on_credit(message)
        elif isinstance(message, Ping):
            self._peer_level = max(0, message.number)
            self.send(Pong(message.number + MESSAGE_LEVEL))
        elif isinstance(message, Pong):
            # A peer of level 0 returns the number of the ping.
            self._peer_level = max(0, message.number - MESSAGE_LEVEL)
            self._set_ready()
        elif self._is_client:
            raise FrameError(f"{type(message).__name__}: not valid from a server")
        else:
            self._dispatch_request(message)

    def _deliver(self, reply: RunReply) -> None:
        self._pending.resolve_run(reply, self.take_reply_body)

    def _deliver_without_body(self, reply: RunReply) -> None:
        """Report a run whose response found no room: it ran, and has no response."""
        self.send(Cancel(reply.number))
        self._deliver(
            reply._replace(
                outcome=int(Outcome.UNKNOWN),
                reason=int(Reason.TOO_LARGE),
                status=0,
                block=b"",
                retry_elsewhere=False,
            )
        )

    def _on_reply_body_evicted(self, number: int) -> None:
        self._bodies.drop(number)
        self.send_batched(BodyPart(number, b""))

    def _dispatch_request(self, message: Message) -> None:
        if isinstance(message, Cancel):
            self._bodies.drop(message.number)
            self._handler.on_cancel(self, message.number)
            return
        method = _HANDLER_METHODS.get(type(message))
        if method is None:
            raise FrameError(f"{type(message).__name__}: not a request")
        getattr(self._handler, method)(self, message)

    def _advance_handshake(self, message: Message) -> None:
        reply = self._handshake.advance(message)
        if reply is not None:
            self.send(reply)
        if self._handshake.is_complete:
            self._complete_handshake()

    def _complete_handshake(self) -> None:
        # Each handshake message waits for the previous one, so the small
        # unpacker that is replaced here holds no unread data.
        self._unpacker = make_unpacker(self._max_body_bytes + _FRAME_OVERHEAD_BYTES)
        if self._is_client:
            # Ready with the reply, so that the first request is sent at its level.
            self.send(Ping(MESSAGE_LEVEL))
        else:
            self._set_ready()
            self._handler.on_open(self)

    def _set_ready(self) -> None:
        if not self._ready.done():
            self._ready.set_result(None)

    def _report_unfinished(self, reason: str) -> None:
        runs = self._pending.runs
        unsent = 0 if self._transport is None else self.unsent_bytes
        if runs or unsent:
            self._handler.on_unfinished(self, reason, runs, unsent)

    def _mark_lost(self, reason: str) -> None:
        if self._closed:
            return
        self._closed = True
        self._bodies.clear()
        self._reply_bodies.clear()
        error = LinkLostError(reason)
        if not self._ready.done():
            self._ready.set_exception(error)
        self._pending.close(reason)
        if not self._is_client:
            self._handler.on_closed(self)

    def _suspend(self, reason: str) -> None:
        """Send no more requests and fail the runs; keep the connection for replies.

        The peer may stand still rather than be lost.
        """
        self._report_unfinished(reason)
        self._silent_since = self._clock.now()
        self._pending.fail(reason)
        self._end_silence()

    def _end_silence(self) -> None:
        """Close a silent connection once no reply is waited for any more."""
        silence = self._clock.now() - self._silent_since
        if not self._pending.has_kept or silence > _MAX_SILENCE_S:
            self.close("no reply to a ping within the silence timeout")


def _consume_exception(future: asyncio.Future) -> None:
    if not future.cancelled():
        future.exception()
