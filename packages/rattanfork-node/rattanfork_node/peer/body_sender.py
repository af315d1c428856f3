"""Sends the large bodies of one connection between nodes."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from rattanfork_node.http1 import BodyReader
from rattanfork_node.peer.body_messages import BodyCredit, BodyPart


@dataclass(slots=True)
class _SentBody:
    """A body that is being sent.

    Parameters
    ==========

    reader : BodyReader
        Returns its parts.
    sent : int
        Bytes sent so far.
    allowed : int
        Bytes that the receiver has allowed to send.
    """

    reader: BodyReader
    sent: int = 0
    allowed: int = 0


class BodySender:
    """Sends bodies in parts, as far as their receivers allow.

    Explanation
    ===========

    A part is sent only while the connection takes more data, so that other messages
    wait behind a few parts at most.  Bodies take turns.

    Parameters
    ==========

    send : callable
        Sends a message on the connection.
    """

    __slots__ = ("_bodies", "_is_writable", "_send", "_turns")

    def __init__(self, send: Callable[[BodyPart], None]) -> None:
        self._send = send
        self._bodies: dict[int, _SentBody] = {}
        #: Numbers of the bodies of which more may be sent.
        self._turns: deque[int] = deque()
        self._is_writable = True

    @property
    def is_writable(self) -> bool:
        """Whether the connection takes more data."""
        return self._is_writable

    @property
    def count(self) -> int:
        """Number of bodies of which not all was sent."""
        return len(self._bodies)

    @property
    def remaining_bytes(self) -> int:
        """Bytes of all bodies that were not sent yet."""
        return sum(body.reader.remaining for body in self._bodies.values())

    def add(self, number: int, reader: BodyReader) -> None:
        """Send the body of a run or reply once its receiver asks for it."""
        self._bodies[number] = _SentBody(reader)

    def drop(self, number: int) -> None:
        """Send no more of a body."""
        body = self._bodies.pop(number, None)
        if body is not None:
            body.reader.close()

    def clear(self) -> None:
        """Send nothing more, as the connection is lost."""
        for number in list(self._bodies):
            self.drop(number)
        self._turns.clear()

    def on_credit(self, credit: BodyCredit) -> None:
        """Send as much as the receiver allows; credit for an ended run is ignored."""
        body = self._bodies.get(credit.number)
        if body is None:
            return
        may_send = body.sent < body.allowed
        body.allowed = max(body.allowed, credit.offset)
        if not may_send and body.sent < body.allowed:
            self._turns.append(credit.number)
        self._send_parts()

    def set_writable(self, is_writable: bool) -> None:
        """Pause or resume, as the connection takes no more or more data."""
        self._is_writable = is_writable
        self._send_parts()

    def _send_parts(self) -> None:
        while self._is_writable and self._turns:
            number = self._turns.popleft()
            body = self._bodies.get(number)
            if body is None:
                continue
            part = body.reader.read()
            if not part:
                # Its client has left; the run is being cancelled.
                self.drop(number)
                continue
            body.sent += len(part)
            if not body.reader.remaining:
                self.drop(number)
            elif body.sent < body.allowed:
                self._turns.append(number)
            self._send(BodyPart(number, part))
