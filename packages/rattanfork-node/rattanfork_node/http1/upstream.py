"""Client side of one HTTP/1.1 connection to an upstream."""

import asyncio
import re
import sys
from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import count

import httptools
from rattanfork_core.clock import Clock
from rattanfork_core.connections import (
    NewConnectionCause,
    ResponseBudget,
    ResponseHolder,
)

from rattanfork_node.http1.headers import NOT_FORWARDED
from rattanfork_node.http1.input_pacer import InputPacer
from rattanfork_node.http1.request_body import PART_BYTES, BodyBuffer, BodyReader
from rattanfork_node.http1.sliced_input import SlicedInput
from rattanfork_node.http1.upstream_response import (
    UpstreamResponse,
    keep_alive_timeout,
)

#: Seconds after sending within which a reset means that the upstream had already
#: dropped the connection.  It is on the same instance, so such a reset comes at once.
_STALE_RESET_WINDOW_S = 0.1
#: Idle seconds up to which a reset is not attributed to the connection being stale.
_MIN_STALE_IDLE_S = 0.1
#: Size of a response body, in bytes, above which it may be kept in parts.
_MAX_JOINED_BYTES = 64 << 10
#: Maximum bytes that are received for a request besides bodies: heads, trailers and
#: the framing of chunks.  For each byte of a body, that many bytes of framing may come
#: on top; a chunk of one byte has five.
_MAX_OVERHEAD_BYTES = 64 << 10
_MAX_FRAMING_FACTOR = 8
#: Maximum number of responses dropped before the one to the pending request.
_MAX_DROPPED = 16
#: Status from which a response may lead to another attempt at the same request.
_MIN_ERROR_STATUS = 400
_STATUS_LINE = re.compile(rb"HTTP/1\.\d [1-5]\d\d(?:[ \r]|$)")
#: Number of requests answered with an error after which a connection is closed.  It
#: bounds the memory for their IDs.
_MAX_ERROR_IDS = 128


class UpstreamConnection(asyncio.Protocol, ResponseHolder):
    """Connection to an upstream that carries one request at a time.

    Explanation
    ===========

    An upstream may send a response twice, or so late that it arrives in place of the
    next one.  Only the ID that a response echoes shows which request it belongs to:

    - A response that echoes another ID than that of the pending request is dropped, and
      so is one without an ID on a connection whose responses have echoed IDs before.
    - Bytes that arrive without a pending request close the connection.
    - An upstream may break off a head and send another response.  A head with a status
      line in its reason phrase or in the value of a header belongs to neither.
    - All attempts at a request have one ID, so a connection carries only one of them,
      see :meth:`may_carry`.

    What an upstream sends may have no end.  Heads, framing and dropped responses are
    bounded for each request, bodies by the budget that all connections share.  The
    processor time for many small pieces is bounded by a pacer.

    Without the IDs a caller could receive the response to another caller's request, or
    a second copy of a rejection could be taken for a statement on an attempt that runs.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    id_name : bytes
        Lower-case name of the header in which responses echo the request ID.
    captured : frozenset of bytes
        Lower-case names of the headers to include in
        :attr:`UpstreamResponse.headers`.
    on_idle : callable
        Called when the connection can be reused.
    on_closed : callable
        Called once, when the connection is aborted or closed.
    events : collections.Counter, optional
        Counts dropped responses as ``upstream.dropped.<cause>``, and those that exceed
        a bound as ``upstream.exceeded.<bound>``.
    budget : ResponseBudget, optional
        Budget for the bodies of the responses that the node is receiving.
    keeps_parts : bool
        Whether large bodies of responses are kept in parts.
    pacer : InputPacer, optional
        Grants turns to the connections with fragmented input.
    """

    _numbers = count(1)

    def __init__(
        self,
        clock: Clock,
        id_name: bytes,
        captured: frozenset[bytes],
        on_idle: Callable[["UpstreamConnection"], None],
        on_closed: Callable[["UpstreamConnection"], None],
        events: Counter[str] | None = None,
        budget: ResponseBudget | None = None,
        keeps_parts: bool = False,
        pacer: InputPacer | None = None,
    ) -> None:
        self._clock = clock
        self._keeps_parts = keeps_parts
        self._input = SlicedInput(
            pacer or InputPacer(),
            self._parse,
            self._finish_parsing,
            self._piece_bytes,
        )
        #: Callbacks of the parser for the data being parsed.
        self._callbacks = 0
        #: Called with the end of the input once nothing waits to be parsed.
        self._on_input_end: Callable[[], object] | None = None
        self._events = Counter() if events is None else events
        self._budget = ResponseBudget() if budget is None else budget
        self._id_name = id_name
        self._captured = captured
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        #: The Keep-Alive header that :attr:`keep_alive_timeout` was read from.
        self._keep_alive_value = b""
        self._parser = httptools.HttpResponseParser(self)
        self._on_response: Callable[[UpstreamResponse | None], None] | None = None
        self._request_id = b""
        self._is_head = False
        #: A large body of the pending request until all of it is written.
        self._request_body: BodyReader | None = None
        self._writable = True
        #: Whether a response on this connection has echoed the ID of its request.
        self._echoes_ids = False
        #: IDs of requests that were answered with an error.
        self._error_ids: set[bytes] = set()
        #: Whether a response began while none was awaited.
        self._unexpected = False
        #: Whether a response was completed by the data being parsed, and whether the
        #: connection may be used again after it.
        self._completed = False
        self._reusable = False
        #: Number of the connection, unique in this process.
        self.number = next(self._numbers)
        #: Requests sent on it, including the pending one.
        self.uses = 0
        #: Responses dropped while the last request was pending.
        self.dropped = 0
        self.closed = False
        #: When the connection was opened, in seconds of the clock.
        self.opened_at = clock.now()
        self.idle_since = clock.now()
        #: When the last request was sent; when it was opened if there was none.
        self.sent_at = clock.now()
        #: Time-out in seconds from the Keep-Alive header; None if not stated.
        self.keep_alive_timeout: float | None = None
        #: Seconds for which the connection had been idle when it proved stale; None
        #: unless it did.
        self.stale_idle_time: float | None = None
        #: Why it was closed; None while it is open.
        self.close_cause: NewConnectionCause | None = None
        #: Whether its response exceeded the budget of the node.
        self.evicted = False
        #: Seconds for which it had been idle when the last request was sent.
        self.idle_before = 0.0
        #: Bytes received since the last request was sent, and those of them that were
        #: in bodies.
        self._received_bytes = 0
        self._body_bytes = 0
        #: Whether it was reset before the first data from the upstream.
        self.refused = False
        self._unused = True
        self._is_counted = False
        self._reset()

    @property
    def usable(self) -> bool:
        """Whether a request may be sent on it."""
        return not self.closed and not self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of the request that the upstream has not read yet."""
        return 0 if self.closed else self._transport.get_write_buffer_size()

    def may_carry(self, request_id: bytes) -> bool:
        """Return whether a request with this ID may be sent on the connection.

        A second copy of the response to an earlier attempt could not be told from the
        response to the next one.
        """
        return request_id not in self._error_ids

    def send(
        self,
        data: bytes,
        request_id: bytes,
        on_response: Callable[[UpstreamResponse | None], None],
        is_head: bool = False,
        body: BodyReader | None = None,
    ) -> None:
        """Send a request.

        Parameters
        ==========

        data : bytes
            The complete request, head and body; only its head if there is a ``body``.
        request_id : bytes
            ID that the response must echo if it has the header.
        on_response : callable
            Called once, with the complete response, or None if the connection
            closed before.
        is_head : bool
            Whether the method is HEAD.
        body : BodyReader, optional
            A large body, of which a few parts at a time are in memory here.
        """
        self._on_response = on_response
        self._request_id = request_id
        self._is_head = is_head
        self._received_bytes = self._body_bytes = 0
        self._input.begin_message()
        self.uses += 1
        self.dropped = 0
        self.sent_at = self._clock.now()
        self.idle_before = self.sent_at - self.idle_since
        self._transport.write(data)
        if body is not None:
            self._request_body = body
            self._transport.set_write_buffer_limits(high=2 * PART_BYTES)
            body.on_readable = self._send_body
            self._send_body()

    def abort(self, cause: NewConnectionCause = NewConnectionCause.CANCELLED) -> None:
        """Abort the connection, so that the upstream can stop processing."""
        self._on_response = None
        self._request_body = None
        if self._transport is not None:
            self._abort_transport()
        self._close(cause)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport
        self.opened_at = self.idle_since = self.sent_at = self._clock.now()

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the pool and the sender of the pending request."""
        if self._input.waiting_bytes:
            self._on_input_end = partial(self.connection_lost, error)
            return
        self._request_body = None
        self.refused = self._unused and error is not None and not self.closed
        if self._on_response is None:
            self._close(NewConnectionCause.CLOSED_BY_UPSTREAM)
        else:
            if not self._received_bytes:
                self._detect_stale()
            stale = self.stale_idle_time is not None
            self._close(NewConnectionCause.STALE if stale else NewConnectionCause.LOST)
        on_response, self._on_response = self._on_response, None
        if on_response is not None:
            on_response(None)

    def pause_writing(self) -> None:
        """Pause sending a body: the upstream does not read."""
        self._writable = False

    def resume_writing(self) -> None:
        """Go on sending a body."""
        self._writable = True
        self._send_body()

    def eof_received(self) -> bool:
        """Complete a response without a length, which ends with its connection.

        Only an orderly close completes it; after a reset it may be truncated.
        """
        if self._input.waiting_bytes:
            self._on_input_end = self._end_input
            return True
        if self._on_response is not None and self._in_body and self._until_close:
            self._complete(reusable=False)
            if self._completed:
                self._release_or_close()
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort if none are expected or they are malformed."""
        if self._on_response is None:
            self._events["upstream.dropped.not-awaited"] += 1
            self.abort(NewConnectionCause.CLOSED_BY_UPSTREAM)
            return
        if self._transport.is_closing():
            return
        self._unused = False
        self._input.receive(data, self._transport)
        self._finish_parsing()

    def on_message_begin(self) -> None:
        """Start a new response."""
        self._callbacks += 1
        if self._on_response is None:
            self._events["upstream.dropped.not-awaited"] += 1
            self._unexpected = True
        self._reset()

    def on_status(self, reason: bytes) -> None:
        """Add to the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process a header; trailer fields are ignored."""
        self._callbacks += 1
        if self._in_body:
            self._check_lines(value)
            return
        lower = name.lower()
        if lower not in NOT_FORWARDED:
            self._block += b"%b: %b\r\n" % (name, value)
            if lower == self._id_name:
                self._add_response_id(value)
            if lower in self._captured:
                known = self._headers.get(lower)
                self._headers[lower] = value if known is None else known + b", " + value
        elif lower == b"content-length":
            self._until_close = False
            self._declared_length = int(value) if value.isdigit() else 0
        elif lower == b"transfer-encoding":
            self._until_close = False
            self._is_chunked = True
        elif lower != b"keep-alive":
            self._check_lines(value)
        elif value != self._keep_alive_value:
            self._check_lines(value)
            self._keep_alive_value = value
            self.keep_alive_timeout = keep_alive_timeout(value)

    def on_headers_complete(self) -> None:
        """Record the status; complete the response if it answers a HEAD request."""
        self._check_lines(self._reason)
        self._check_lines(self._block)
        self._in_body = True
        self._received_at = self._clock.now()
        self._status = self._parser.get_status_code()
        if self._is_head and self._status >= 200:
            self._complete(reusable=False)

    def on_body(self, body: bytes) -> None:
        """Append to the body, within the budget of the node."""
        self._callbacks += 1
        self._body_bytes += len(body)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Complete a final response; interim (1xx) ones are ignored."""
        if self._status >= 200:
            self._complete(self._parser.should_keep_alive())
        else:
            # The final response has not begun, so a close does not complete it.
            self._in_body = False

    def evict(self) -> None:
        """Abort the connection, whose response exceeds the budget of the node."""
        self._events["upstream.exceeded.budget"] += 1
        self.evicted = True
        self._body.take_parts()
        self._abort_transport()

    def _parse(self, data: bytes | memoryview) -> int:
        """Parse a part of the input; return the number of callbacks."""
        self._received_bytes += len(data)
        self._callbacks = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._abort_transport()
            return self._callbacks
        if self._unexpected:
            # The connection ends, whatever else waits.
            self._input.clear()
        elif not self._completed and self._exceeds_overhead():
            self._events["upstream.exceeded.overhead"] += 1
            self._abort_transport()
        return self._callbacks

    def _piece_bytes(self) -> int:
        """Return how many of the next bytes belong to a body without framing."""
        if not self._in_body or self._is_chunked:
            return 0
        if self._until_close:
            return sys.maxsize
        return self._declared_length - self._body.size

    def _finish_parsing(self) -> None:
        """Account for what was parsed and what waits; end a complete response."""
        waiting = self._input.waiting_bytes
        if self._body.size or waiting:
            self._is_counted = True
            self._budget.hold(self, self._body.size + waiting)
            waiting = self._input.waiting_bytes
        else:
            self._release_budget()
        if waiting:
            return
        on_end, self._on_input_end = self._on_input_end, None
        if on_end is not None:
            on_end()
        # Released only now, as the parser has seen any bytes after the response.
        elif self._completed and not self._transport.is_closing():
            self._release_or_close()

    def _end_input(self) -> None:
        """End the input, unless the connection was aborted in between."""
        if not self._transport.is_closing():
            self.eof_received()
            self._transport.close()

    def _abort_transport(self) -> None:
        """Abort the transport, and drop what was received but not parsed."""
        self._input.clear()
        self._transport.abort()
        on_end, self._on_input_end = self._on_input_end, None
        if on_end is not None:
            asyncio.get_running_loop().call_soon(on_end)

    def _send_body(self) -> None:
        body = self._request_body
        if body is None:
            return
        while self._writable and (part := body.read()):
            self._transport.write(part)
        if not body.remaining:
            self._request_body = None

    def _check_lines(self, lines: bytes) -> None:
        """Check lines of a head, or parts of them, for a status line.

        Raises
        ======

        ValueError
            If they contain one; the parser then reports a malformed response.
        """
        # Faster than a search for the expression, or "in".
        if lines.find(b"HTTP/1.") >= 0 and _STATUS_LINE.search(lines):
            self._events["upstream.dropped.joined-heads"] += 1
            raise ValueError("status line within a line of a head")

    def _add_response_id(self, value: bytes) -> None:
        if not self._response_id:
            self._response_id = value
        elif value != self._response_id:
            # Several different IDs match no request.
            self._response_id += b", " + value

    def _exceeds_overhead(self) -> bool:
        overhead = self._received_bytes - self._body_bytes
        allowed = _MAX_OVERHEAD_BYTES + _MAX_FRAMING_FACTOR * self._body_bytes
        return overhead > allowed or self.dropped > _MAX_DROPPED

    def _close(self, cause: NewConnectionCause) -> None:
        """Mark the connection as closed and notify the pool, the first time."""
        if not self.closed:
            self.closed = True
            self.close_cause = cause
            self._input.clear()
            self._budget.release(self)
            # Kept in memory with the transport until the next garbage collection.
            self._body.take_parts()
            self._on_closed(self)

    def _detect_stale(self) -> None:
        elapsed = self._clock.now() - self.sent_at
        if elapsed < _STALE_RESET_WINDOW_S and self.idle_before > _MIN_STALE_IDLE_S:
            self.stale_idle_time = self.idle_before

    def _reset(self) -> None:
        self._release_budget()
        self._reason = b""
        self._response_id = b""
        self._headers: dict[bytes, bytes] = {}
        self._block = bytearray()
        self._body = BodyBuffer()
        self._status = 0
        self._received_at = 0.0
        self._in_body = False
        self._until_close = True
        self._declared_length = 0
        self._is_chunked = False

    def _complete(self, reusable: bool) -> None:
        self._in_body = False
        if self._on_response is None:
            return
        is_identified = True
        if not self._response_id or self._response_id != self._request_id:
            if self._is_foreign():
                self._drop_foreign(reusable)
                return
            # Nothing but the first request can have caused the first response.
            is_identified = self.uses == 1 and not self.dropped
        else:
            self._echoes_ids = True
        on_response, self._on_response = self._on_response, None
        if self._request_id and self._status >= _MIN_ERROR_STATUS:
            self._error_ids.add(self._request_id)
            reusable = reusable and len(self._error_ids) < _MAX_ERROR_IDS
        self._completed = True
        # After an early response the upstream would take the next request for the rest
        # of the body.
        self._reusable = reusable and self._request_body is None
        self._request_body = None
        is_large = self._keeps_parts and self._body.size > _MAX_JOINED_BYTES
        # An idle connection must not keep its last response in memory.
        parts = self._body.take_parts()
        response = UpstreamResponse(
            self._status,
            bytes(self._block),
            b"" if is_large else b"".join(parts),
            self._headers,
            self._received_at,
            is_identified,
            parts if is_large else None,
        )
        if not self._is_counted:
            on_response(response)
            return
        self._is_counted = False
        with self._budget.hand_over(self):
            on_response(response)

    def _release_budget(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._budget.release(self)

    def _is_foreign(self) -> bool:
        """Return whether a response without the request's ID belongs to another one."""
        return bool(self._response_id or (self._request_id and self._echoes_ids))

    def _drop_foreign(self, reusable: bool) -> None:
        """Drop a response; close the connection if it ends with the response."""
        cause = "other-id" if self._response_id else "without-id"
        self._events[f"upstream.dropped.{cause}"] += 1
        self.dropped += 1
        if not reusable:
            self._abort_transport()
            on_response, self._on_response = self._on_response, None
            on_response(None)

    def _release_or_close(self) -> None:
        self._completed = False
        if self.closed:
            return
        unsent = self._transport.get_write_buffer_size()
        if not self._reusable or self._unexpected or unsent:
            # While part of the request is unsent, the upstream would read the next
            # one as the rest of its body.
            self._transport.abort() if self._unexpected else self._transport.close()
            self._close(
                NewConnectionCause.LOST
                if self._unexpected
                else NewConnectionCause.CONNECTION_CLOSE
            )
            return
        self.idle_since = self._clock.now()
        self._on_idle(self)
