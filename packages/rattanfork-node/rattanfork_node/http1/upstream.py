"""One connection to an upstream."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import httptools
from rattanfork_core.clock import Clock

from rattanfork_node.http1.headers import NOT_FORWARDED

#: Seconds within which a reset speaks of a connection that was forgotten: the
#: upstream is on this instance, and a reset comes back as soon as it is sent to.
_STALE_WITHIN = 0.1
#: Seconds of rest below which a reset has another cause.
_SOME_REST = 0.1
#: Most bytes of an answer that a node holds.
_MOST_BYTES = 64 << 20


class UpstreamResponse(NamedTuple):
    """A whole answer of an upstream.

    Parameters
    ==========

    status : int
        Status code.
    block : bytes
        Headers to forward, each ending in CRLF.
    body : bytes
        The whole body.
    headers : dict
        Values by lower-case name, for those the connection was asked to note.
    """

    status: int
    header_block: bytes
    body: bytes
    headers: dict[bytes, bytes]


class UpstreamConnection(asyncio.Protocol):
    """A connection to an upstream that carries one request at a time.

    Explanation
    ===========

    An upstream may send more than it was asked for: a second answer, or a
    late one at the place where the next is expected.  Answers that name
    another request are dropped while one is awaited, and bytes that arrive
    while none is awaited end the connection.  Otherwise a caller would get
    the answer to somebody else's request.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    id_name : bytes
        Lower-case name of the header in which answers echo the request ID.
    noted : frozenset of bytes
        Lower-case names of headers whose values are handed over.
    on_idle : callable
        Told when the connection may be used again.
    on_closed : callable
        Told when the connection is gone.
    """

    def __init__(
        self,
        clock: Clock,
        id_name: bytes,
        captured: frozenset[bytes],
        on_idle: Callable[["UpstreamConnection"], None],
        on_closed: Callable[["UpstreamConnection"], None],
    ) -> None:
        self._clock = clock
        self._id_name = id_name
        self._noted = captured
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._done: Callable[[UpstreamResponse | None], None] | None = None
        self._request_id = b""
        self._is_head = False
        #: Something came that was not asked for.
        self._surplus = False
        self.closed = False
        self.idle_since = clock.now()
        #: Seconds for which the upstream keeps the connection; None if unsaid.
        self.keep_alive_timeout: float | None = None
        #: Seconds that the connection had rested when it turned out to be
        #: forgotten by the other end; None while it has not.
        self.stale_idle_time: float | None = None
        self._rested = 0.0
        self._sent_at = 0.0
        self._heard = False
        self._reset()

    def send(
        self,
        data: bytes,
        request_id: bytes,
        done: Callable[[UpstreamResponse | None], None],
        is_head: bool = False,
    ) -> None:
        """Send a request.

        Parameters
        ==========

        data : bytes
            The whole request.
        request_id : bytes
            ID that the answer must bear, if it bears one.
        done : callable
            Called once, with the whole answer or None if the connection
            ended first.
        """
        self._done = done
        self._request_id = request_id
        self._is_head = is_head
        self._heard = False
        self._sent_at = self._clock.now()
        self._rested = self._sent_at - self.idle_since
        self._transport.write(data)

    def abort(self) -> None:
        """End the connection at once, so that the upstream stops its work."""
        self._done = None
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = transport
        self.idle_since = self._clock.now()

    def connection_lost(self, error: Exception | None) -> None:
        """Tell who waits."""
        self.closed = True
        if self._done is not None and not self._heard:
            self._note_stale()
        self._on_closed(self)
        done, self._done = self._done, None
        if done is not None:
            done(None)

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection.

        Only an orderly end completes it: after a reset the rest is missing.
        """
        if self._done is not None and self._in_body and self._until_close:
            self._complete(reusable=False)
        return False

    def data_received(self, data: bytes) -> None:
        """Take in bytes."""
        if self._done is None:
            self._transport.abort()
            return
        self._heard = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Begin an answer."""
        if self._done is None:
            self._surplus = True
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        lower = name.lower()
        if lower == self._id_name:
            self._answer_id = value
        elif lower == b"keep-alive":
            self.keep_alive_timeout = _keep_alive_timeout(value)
        elif lower in (b"content-length", b"transfer-encoding"):
            self._until_close = False
        if lower in self._noted:
            self._headers[lower] = value
        if lower not in NOT_FORWARDED:
            self._block += name + b": " + value + b"\r\n"

    def on_headers_complete(self) -> None:
        """Note how the answer ends."""
        self._in_body = True
        self._status = self._parser.get_status_code()
        if self._is_head:
            self._complete(reusable=False)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._size += len(body)
        if self._size > _MOST_BYTES:
            raise ValueError("the answer is too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand over the answer."""
        if self._status >= 200:
            self._complete(self._parser.should_keep_alive())

    def _note_stale(self) -> None:
        waited = self._clock.now() - self._sent_at
        if waited < _STALE_WITHIN and self._rested > _SOME_REST:
            self.stale_idle_time = self._rested

    def _reset(self) -> None:
        self._answer_id = b""
        self._headers: dict[bytes, bytes] = {}
        self._block = bytearray()
        self._body: list[bytes] = []
        self._size = 0
        self._status = 0
        self._in_body = False
        self._until_close = True

    def _complete(self, reusable: bool) -> None:
        self._in_body = False
        foreign = self._answer_id and self._answer_id != self._request_id
        if self._done is None or (foreign and reusable):
            return
        done, self._done = self._done, None
        answer = UpstreamResponse(
            self._status, bytes(self._block), b"".join(self._body), self._headers
        )
        if foreign:
            self._transport.abort()
            done(None)
            return
        done(answer)
        # Bytes behind the answer show up only when the parser goes on.
        asyncio.get_running_loop().call_soon(self._settle, reusable)

    def _settle(self, reusable: bool) -> None:
        if self.closed:
            return
        unsent = self._transport.get_write_buffer_size()
        if not reusable or self._surplus or unsent:
            # With a part of the request unsent, the next one would be read
            # as the rest of its body.
            self._transport.abort() if self._surplus else self._transport.close()
            return
        self.idle_since = self._clock.now()
        self._on_idle(self)


def _keep_alive_timeout(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
