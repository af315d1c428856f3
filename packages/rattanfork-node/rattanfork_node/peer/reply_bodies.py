"""Large bodies of replies to runs, passed between nodes in parts."""

from collections import deque
from collections.abc import Callable

from rattanfork_core.connections import ResponseBudget, ResponseHolder

from rattanfork_node.http1 import PART_BYTES, BodyBuffer, BodyReader
from rattanfork_node.peer.body_messages import BodyCredit, BodyPart, BodyStart
from rattanfork_node.peer.errors import FrameError
from rattanfork_node.peer.messages import RunReply


class OutgoingReplyBody(BodyReader, ResponseHolder):
    """Body of a reply that its gate holds until the peer has room for it.

    Parameters
    ==========

    parts : list of bytes
        The body.
    budget : ResponseBudget
        Budget of this node for responses.
    on_evicted : callable
        Called if the body had to be dropped.
    """

    __slots__ = ("_budget", "_on_evicted", "_parts", "_remaining", "_size")

    def __init__(
        self,
        parts: list[bytes],
        budget: ResponseBudget,
        on_evicted: Callable[[], None],
    ) -> None:
        self._parts = deque(parts)
        self._size = self._remaining = sum(map(len, parts))
        self._budget = budget
        self._on_evicted = on_evicted
        self.on_readable = _ignore

    @property
    def size(self) -> int:
        """Size of the body, in bytes."""
        return self._size

    @property
    def remaining(self) -> int:
        """Bytes that :meth:`read` has not returned yet."""
        return self._remaining

    def hold(self) -> None:
        """Count the body against the budget, which may drop it."""
        self._budget.hold(self, self._remaining)

    def read(self) -> bytes:
        """Return the next part and free it; b"" if there is none."""
        if not self._parts:
            return b""
        part = self._parts.popleft()
        if len(part) > PART_BYTES:
            self._parts.appendleft(part[PART_BYTES:])
            part = part[:PART_BYTES]
        self._remaining -= len(part)
        if self._remaining:
            self._budget.hold(self, self._remaining)
        return part

    def close(self) -> None:
        """Free the rest of the body."""
        self._parts.clear()
        self._remaining = 0
        self._budget.release(self)

    def evict(self) -> None:
        """Free the rest of the body, and report it."""
        self.close()
        self._on_evicted()


class _IncomingReplyBody(ResponseHolder):
    """Body of a reply that is being received.

    Parameters
    ==========

    size : int
        Its size in bytes.
    on_evicted : callable
        Called if the body had to be dropped.
    """

    __slots__ = ("_on_evicted", "buffer", "reply", "size")

    def __init__(self, size: int, on_evicted: Callable[[], None]) -> None:
        self.size = size
        self.buffer = BodyBuffer()
        self._on_evicted = on_evicted
        #: The reply that the body belongs to, once it has arrived.
        self.reply: RunReply | None = None

    @property
    def is_complete(self) -> bool:
        """Whether all of it has arrived."""
        return self.buffer.size == self.size

    def evict(self) -> None:
        """Free what was received, and report it."""
        self.buffer.take_parts()
        self._on_evicted()


class ReplyBodyReceiver:
    """Receives the large bodies of the replies on one connection between nodes.

    Explanation
    ===========

    A body is requested once this node has room for all of it.  Until then it is held by
    the gate that sends it, so that the clients of one node don't fill the memory of
    others, and neither hold back other replies on the connection.

    Parameters
    ==========

    budget : ResponseBudget
        Budget of this node for responses.
    send : callable
        Sends a message to the peer.
    on_complete : callable
        Called with each reply whose body is complete; the body is taken with
        :meth:`take`.
    on_failed : callable
        Called with each reply whose body had to be dropped, here or by the peer.
    """

    __slots__ = ("_bodies", "_budget", "_on_complete", "_on_failed", "_send", "_taken")

    def __init__(
        self,
        budget: ResponseBudget,
        send: Callable[[BodyCredit], None],
        on_complete: Callable[[RunReply], None],
        on_failed: Callable[[RunReply], None],
    ) -> None:
        self._budget = budget
        self._send = send
        self._on_complete = on_complete
        self._on_failed = on_failed
        self._bodies: dict[int, _IncomingReplyBody] = {}
        self._taken: list[bytes] | None = None

    def on_start(self, start: BodyStart) -> None:
        """Expect the body of a reply."""
        if start.number in self._bodies or start.size <= 0:
            raise FrameError("a body of a reply was announced twice, or without a size")
        number = start.number
        body = _IncomingReplyBody(start.size, lambda: self._fail(number))
        self._bodies[number] = body

    def on_reply(self, reply: RunReply) -> bool:
        """Return whether a reply has to wait for its body, which is then requested."""
        body = self._bodies.get(reply.number)
        if body is None:
            return False
        body.reply = reply
        credit = BodyCredit(reply.number, body.size)
        self._budget.reserve(body, body.size, lambda: self._send(credit))
        return True

    def on_part(self, part: BodyPart) -> None:
        """Add a part; one of a body that was dropped is ignored.

        Raises
        ======

        FrameError
            If the body is larger than announced.
        """
        body = self._bodies.get(part.number)
        if body is None:
            return
        if body.reply is None:
            raise FrameError("a body of a reply arrived before the reply")
        if not part.data:
            # The gate had to drop the rest.
            self._budget.release(body)
            body.evict()
            return
        body.buffer.append(part.data)
        if body.buffer.size > body.size:
            raise FrameError("a body of a reply is larger than announced")
        if body.is_complete:
            del self._bodies[part.number]
            self._taken = body.buffer.take_parts()
            with self._budget.hand_over(body):
                self._on_complete(body.reply)
            self._taken = None

    def take(self) -> list[bytes] | None:
        """Return the body of the reply that is being handled; None if it has none."""
        taken, self._taken = self._taken, None
        return taken

    def drop(self, number: int) -> bool:
        """Drop the body of a reply; return whether there was one."""
        body = self._bodies.pop(number, None)
        if body is None:
            return False
        self._budget.release(body)
        return True

    def clear(self) -> None:
        """Drop all bodies, as the connection is lost."""
        for number in list(self._bodies):
            self.drop(number)

    def _fail(self, number: int) -> None:
        self._on_failed(self._bodies.pop(number).reply)


def _ignore() -> None:
    pass
