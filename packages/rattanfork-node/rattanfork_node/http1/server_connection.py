"""Server side of one HTTP/1.1 connection: parsing, pipelining, limits and close."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools
from rattanfork_core.connections import ResponseHolder
from rattanfork_core.uploads import MAX_UNCOUNTED_BODY_BYTES

from rattanfork_node.http1.connection_end import CloseReason
from rattanfork_node.http1.end_report import EndReport
from rattanfork_node.http1.exchange import Exchange
from rattanfork_node.http1.limits import RequestLimits
from rattanfork_node.http1.lingering_close import LingeringClose
from rattanfork_node.http1.output import Output
from rattanfork_node.http1.render import render_response, render_response_head
from rattanfork_node.http1.request_body import HeldBody
from rattanfork_node.http1.request_head import RequestHead
from rattanfork_node.http1.request_input import RequestInput
from rattanfork_node.http1.request_size import RequestSize
from rattanfork_node.http1.request_usage import RequestUsage
from rattanfork_node.http1.upload_receiver import UploadReceiver
from rattanfork_node.kernel_queues import undelivered_bytes, unread_bytes

if TYPE_CHECKING:
    from rattanfork_node.http1.server import HttpServer

#: Unanswered requests of one connection at which reading pauses.  Clients pipeline far
#: fewer; the limit bounds the memory that one connection can take.
_MAX_PIPELINED = 64
#: Status of a request that was not run and may be sent again, and when.
_NOT_RUN_STATUS = 503
_RETRY_LINE = b"Retry-After: 1\r\n"
#: Seconds for which a client may leave responses unread.
_SLOW_READER_TIMEOUT_S = 20.0


class ServerConnection(asyncio.Protocol, ResponseHolder):
    """Server side of one HTTP/1.1 connection.

    Explanation
    ===========

    Pipelined requests are handled concurrently and answered in order.  Handled one
    after another, the last of a batch would wait for all the others.

    A request that follows one with ``Connection: close`` is dropped and never
    reaches the handler: the client assumes that it was not processed and sends it
    again, so handling it would execute it twice.
    """

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._input = RequestInput(self, server.pacer, server.clock)
        self.pending: deque[Exchange] = deque()
        self._closing = False
        self._lost = False
        self._end = EndReport(server)
        #: Whether further requests of this connection are dropped.
        self._drop_requests = False
        self._leaving = False
        #: Whether it was told to leave while input waited.
        self._leaves_once_parsed = False
        #: Whether a request was received in part.
        self.is_receiving = False
        self._paused = False
        self._output: Output | None = None
        self._ending: LingeringClose | None = None
        self._closes_once_sent = False
        #: Whether unsent responses count against the budget of the server.
        self._is_counted = False
        #: What its requests take of the server's budget.
        self.usage = RequestUsage(server.clock, server.requests)
        #: Whether it was closed for others.
        self.is_dropped = False
        #: Receives large bodies; None before the first one.
        self._uploads: UploadReceiver | None = None
        self._last_active = server.clock.now()
        self._head_since: float | None = None
        self._reset_request()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its server."""
        self._transport = transport
        self._output = Output(transport)
        self._ending = LingeringClose(transport)
        self._server.admit(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the handlers of unanswered requests that the client disconnected."""
        self._lost = True
        self._end.send(self.pending)
        self._server.connections.discard(self)
        self._server.unsent.release(self)
        self._input.discard()
        self.usage.clear()
        # Connection and transport refer to each other, so that they are freed only by
        # the next garbage collection.
        self._output.clear()
        if self._uploads is not None:
            self._uploads.on_lost()
        for exchange in self.pending:
            exchange.answered = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()
            if exchange.upload is not None:
                exchange.on_disconnect = None
                upload, exchange.upload = exchange.upload, None
                upload.on_disconnect()
        self.pending.clear()

    def eof_received(self) -> bool:
        """Refuse an upload whose client ended the connection within the body."""
        if self._uploads is not None:
            self._uploads.on_eof()
        return False

    def pause_writing(self) -> None:
        """Count what is unsent: the client does not read its responses."""
        self._output.pause()
        self._last_active = self._server.clock.now()
        # Counted by the caller, which may pass on more.
        self._is_counted = True
        self.update_reading()

    def resume_writing(self) -> None:
        """Send more; resume reading unless too many requests are unanswered."""
        self._output.resume()
        if self._closes_once_sent:
            self._close_once_sent()
        self._count_unsent()
        self.update_reading()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, fragmented ones later."""
        self._input.receive(data)

    def on_input(self, data: bytes | memoryview, is_last: bool) -> None:
        """Parse a slice of the input; reject what is malformed or too large."""
        if self._closing or self._drop_requests:
            self._discard(data)
            return
        self._last_active = self._server.clock.now()
        self._size.received += len(data)
        try:
            self._input.parse(data)
        except httptools.HttpParserError:
            # The start of the next request is unknown after a parse error.
            self._reject(self._error_status or 400)
        else:
            max_head, in_head = self._limits.max_head_bytes, self._reading_head
            if self.is_receiving and self._size.is_too_large(max_head, in_head):
                self._reject(431)
        if self._uploads is not None and (is_last or self.is_receiving):
            # Bytes behind a body show whether it is longer than declared.
            self._uploads.deliver()
        if self.is_receiving or self.usage.incomplete:
            self._count_incomplete()
        self.update_reading()

    def on_input_waiting(self) -> None:
        """Read no more until the input that waits was parsed."""
        self._count_incomplete()
        self.update_reading()

    def on_input_parsed(self, waited: float) -> None:
        """Read again; the client had no part in the time that its input waited."""
        if self._head_since is not None:
            now = self._server.clock.now()
            self._head_since = min(now, self._head_since + waited)
        if self._leaves_once_parsed:
            self._leaves_once_parsed = False
            self.leave()
        self._count_incomplete()
        self.update_reading()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._input.requests += 1
        self._reset_request()
        self._reading_head = True
        self.is_receiving = True
        self._head_since = self._server.clock.now()

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self.head.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process a header; trailer fields are ignored."""
        self._input.pieces += 1
        if not self._reading_head:
            return
        self.head.add(name, value)

    def on_headers_complete(self) -> None:
        """Check size, Host header and target; begin an upload or permit the body."""
        self._reading_head = False
        self._head_since = None
        head = self.head
        if head.size + len(head.target) > self._limits.max_head_bytes:
            self._fail_parsing(431)
        if not head.is_unambiguous:
            self._fail_parsing(400)
        if head.has_large_body and self._begin_upload():
            return
        if head.expects_continue and not self.pending:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append to the body, up to its maximum size."""
        self._input.pieces += 1
        self._size.body += len(body)
        if self._uploads is not None and self._uploads.current is not None:
            self._uploads.receive(body)
            return
        self._body += body
        if len(self._body) > MAX_UNCOUNTED_BODY_BYTES and self._begin_upload():
            received, self._body = bytes(self._body), bytearray()
            self._uploads.receive(received)
        elif len(self._body) > self._limits.max_body_bytes:
            self._fail_parsing(413)

    def on_message_complete(self) -> None:
        """Pass the completed request to the handler."""
        if self._input.parser.should_upgrade():
            # Its body has not been parsed, see RequestInput.
            return
        self.is_receiving = False
        if self._uploads is not None and self._uploads.current is not None:
            upload = self._uploads.end()
            self._size.received = 0
            self._drop_requests |= self._leaving or not upload.exchange.keep_alive
            return
        if self._closing or self._drop_requests:
            return
        exchange = self._make_exchange(bytes(self._body))
        self._drop_requests = not exchange.keep_alive
        self._size.received = 0
        self._body = bytearray()
        self.enqueue(exchange)
        if self.usage.exceeds_fair_share(len(self._server.connections)):
            self._server.count_refusal()
            exchange.respond(_NOT_RUN_STATUS, self._refusal_block())
        else:
            self._server.handle(exchange)

    def enqueue(self, exchange: Exchange) -> None:
        """Add a request to those that wait for their responses."""
        self.usage.add(exchange)
        self.pending.append(exchange)

    def remove(self, exchange: Exchange) -> None:
        """Remove a request that was added, and is to be received in another way."""
        self.pending.remove(exchange)
        self.usage.remove(exchange)

    def flush_responses(self) -> None:
        """Write the responses that are next in order."""
        pending = self.pending
        if self._lost:
            return
        parts: list[bytes] = []
        has_flushed = False
        while pending and pending[0].output is not None:
            has_flushed = True
            exchange = pending.popleft()
            self.usage.remove(exchange)
            status, block, body = exchange.output
            close = not exchange.keep_alive or (self._leaving and not pending)
            is_head = exchange.method == b"HEAD"
            if type(body) is HeldBody and not is_head:
                parts.append(render_response_head(status, block, body.size, close))
                self.write(b"".join(parts))
                parts.clear()
                self._output.write_body(body)
            elif type(body) is HeldBody:
                parts.append(render_response_head(status, block, body.size, close))
            else:
                parts.append(render_response(status, block, body, close, is_head))
            if close:
                self._closing = True
                self._end.reason = CloseReason.ANSWERED
                break
        if parts:
            self.write(b"".join(parts))
        if has_flushed:
            self._last_active = self._server.clock.now()
            if self._closing:
                self._close_once_sent()
        if self._is_counted or len(pending) > 1:
            self._count_unsent()
        if has_flushed and not self._closing:
            if pending and pending[0].upload is not None:
                self._uploads.continue_upload(pending[0].upload)
            self.update_reading()

    def write(self, data: bytes) -> None:
        """Send data behind all that was written before."""
        self._output.write(data)

    def drop_requests(self) -> None:
        """Drop further requests, as a response will close the connection."""
        self._drop_requests = True

    def update_reading(self) -> None:
        """Pause or resume reading, by what is unparsed, unanswered or unread."""
        if self._lost or (self._closing and not self._is_draining):
            return
        full = (
            self._input.is_waiting
            or self._output.is_backed_up
            or len(self.pending) >= _MAX_PIPELINED
            or (self._uploads is not None and self._uploads.is_paused)
            or self.usage.is_too_large
        )
        if full == self._paused or self._transport.is_closing():
            return
        self._paused = full
        if full:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def leave(self) -> None:
        """Close the connection once all requests received so far are answered."""
        if self._input.is_waiting:
            # Whole requests may wait.
            self._leaves_once_parsed = True
            return
        self._leaving = True
        if self._uploads is not None and self._uploads.current is not None:
            # The body is still read; later requests are dropped from its end on.
            return
        if self.pending:
            # Later requests would follow the response that closes the connection.
            self._drop_requests = True
        elif self._is_idle:
            self.close(CloseReason.LEAVING)

    def close(self, reason: CloseReason = CloseReason.STOPPED) -> None:
        """Close the connection once all that was written is sent."""
        self._closing = True
        if self._output is None:
            return
        self._end.reason = reason
        if self._output.is_empty:
            self.close_delivered()
        else:
            self._closes_once_sent = True

    def stop(self) -> None:
        """Close the connection as the process ends, and report what is left on it."""
        self.close(CloseReason.STOPPED)
        self._end.undelivered = self.undelivered_bytes
        self._end.send(self.pending)

    def close_delivered(self, may_receive: bool = True) -> None:
        """Close the connection once the client has read what was written."""
        self._input.discard()
        self._ending.begin(self._last_active, may_receive)

    def check_time(self, now: float) -> None:
        """Close the connection if it is idle or its client too slow."""
        limits = self._limits
        if self._ending.is_ending:
            if self._ending.check(now) > _SLOW_READER_TIMEOUT_S:
                self._abort_transport(CloseReason.SLOW_READER)
        elif self._head_since is not None:
            is_late = now - self._head_since > limits.head_timeout
            if is_late and not self._input.is_waiting:
                self._reject(408)
        elif not self._output.is_writable:
            self._count_unsent()
            if now - self._last_active > _SLOW_READER_TIMEOUT_S:
                self._abort_transport(CloseReason.SLOW_READER)
        elif now - self._last_active > limits.idle_timeout and self._is_idle:
            self.close(CloseReason.IDLE)

    @property
    def drop_order(self) -> tuple[bool, bool, float]:
        """Place in the order in which connections without pending requests close."""
        is_receiving = self.is_receiving or self._has_unparsed_input
        return self.undelivered_bytes > 0, is_receiving, self._last_active

    def drop(self) -> None:
        """Abort the connection, which has no request that was received whole."""
        self._closing = self.is_dropped = True
        self._output.clear()
        self._abort_transport(CloseReason.DROPPED)

    def evict(self) -> None:
        """Abort the connection, whose client reads too slowly for the node's budget."""
        if self._server.uploads is not None:
            self._server.uploads.events["callers.exceeded.budget"] += 1
        self._closing = self.is_dropped = True
        self._output.clear()
        self._abort_transport(CloseReason.EVICTED)

    def refuse_incomplete(self) -> None:
        """Refuse the request that is not received whole, and close after it."""
        self._server.count_refusal()
        self._input.discard()
        if self._uploads is not None:
            self._uploads.deliver()
            self._uploads.refuse_for_room()
        if self.is_receiving:
            self._body = bytearray()
            self.head.block = bytearray()
        else:
            # The refused request waited, and its head was not parsed.
            self._reset_request()
        self._reject(_NOT_RUN_STATUS)
        self._input.parser = None
        self._count_incomplete()
        self.update_reading()

    @property
    def is_discarding(self) -> bool:
        """Whether further input is discarded without being parsed."""
        if not (self._closing or self._drop_requests):
            return False
        is_parsed = self._uploads is not None and self._uploads.current is not None
        return self._input.parser is None or self._ending.is_ending or not is_parsed

    @property
    def remaining_body_bytes(self) -> int:
        """Bytes of the current body that are declared and not received."""
        if not self.is_receiving or self._reading_head:
            return 0
        return max(0, (self.head.declared_length or 0) - self._size.body)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that wait for the client to read."""
        return self._output.unsent_bytes

    @property
    def undelivered_bytes(self) -> int:
        """Bytes of responses that the client has not acknowledged."""
        return self._output.unsent_bytes + undelivered_bytes(self._transport)

    @property
    def is_unfinished(self) -> bool:
        """Whether the client may still read a response, or its input waits."""
        is_unread = self._ending.is_ending or self.undelivered_bytes > 0
        return is_unread or self._input.is_waiting

    @property
    def _is_idle(self) -> bool:
        """Whether no request is pending, in part or before it was parsed."""
        return not (self.pending or self.is_receiving or self._has_unparsed_input)

    @property
    def _has_unparsed_input(self) -> bool:
        """Whether input waits for a turn, or in the socket."""
        return self._input.is_waiting or unread_bytes(self._transport) > 0

    @property
    def _is_draining(self) -> bool:
        """Whether the rest of a refused body is read before the connection closes."""
        is_draining = self._uploads is not None and self._uploads.is_draining
        return is_draining and not self._ending.is_ending

    @property
    def _limits(self) -> RequestLimits:
        return self._server.limits

    def _discard(self, data: bytes | memoryview) -> None:
        """Discard input; find the end of a refused body."""
        self._ending.discard(len(data))
        if self._uploads is not None and not self._ending.is_ending:
            self._input.parser = self._uploads.discard(data, self._input.parser)
            self._uploads.deliver()

    def _reset_request(self) -> None:
        #: Head of the current request.
        self.head = RequestHead(self._server.header_filter)
        self._body = bytearray()
        self._size = RequestSize()
        self._reading_head = False
        self._error_status = 0

    def _count_unsent(self) -> None:
        """Count what the client has not read, and what waits for earlier responses."""
        if self._lost:
            return
        size = sum(len(e.output[2]) for e in self.pending if e.output is not None)
        if not self._output.is_writable:
            size += self.unsent_bytes
        self._is_counted = size > 0
        if self._is_counted:
            self._server.unsent.hold(self, size)
        else:
            self._server.unsent.release(self)

    def _count_incomplete(self) -> None:
        """Count a request that is not received whole; make room if there is none."""
        size = 0
        is_upload = self._uploads is not None and self._uploads.current is not None
        if self.is_receiving and not (is_upload or self._drop_requests):
            size = len(self.head.block) + len(self.head.target) + len(self._body)
        self.usage.set_incomplete(size + self._input.waiting_bytes)
        if self.usage.incomplete and self._server.requests.is_exhausted:
            self._server.refuse_incomplete()

    def _refusal_block(self) -> bytes:
        """Return the headers of a response that a request was not run."""
        block = _RETRY_LINE
        request_id = self.head.request_id
        if request_id:
            block += self._server.names.request_id + b": " + request_id + b"\r\n"
        return block

    def _make_exchange(self, body: bytes) -> Exchange:
        head = self.head
        return Exchange(
            self,
            self._input.parser.get_method(),
            head.target,
            head.host,
            bytes(head.block),
            body,
            head.request_id,
            head.client_timeout,
            self._input.parser.should_keep_alive()
            and (not self._server.leaving or self._leaves_once_parsed),
            tuple(head.keys),
        )

    def _begin_upload(self) -> bool:
        """Offer the request to the handler before its body; return if it took it."""
        server = self._server
        if server.uploads is None or self._closing or self._drop_requests:
            return False
        head = self.head
        known_size = max(len(self._body), head.declared_length or 0)
        if self._uploads is None:
            self._uploads = UploadReceiver(self, server, self._transport)
        return self._uploads.begin(
            self._make_exchange(b""),
            head.declared_length,
            head.expects_continue and self._input.parser.get_http_version() != "1.0",
            known_size > MAX_UNCOUNTED_BODY_BYTES,
        )

    def _fail_parsing(self, status: int) -> None:
        self._error_status = status
        raise ValueError(f"request rejected with status {status}")

    def _reject(self, status: int) -> None:
        """Queue an error response behind the pending ones, and close after it."""
        if self._closing or self._drop_requests:
            return
        self._head_since = None
        self._drop_requests = True
        self._input.parser = None
        if self._uploads is not None and self._uploads.refuse_malformed(
            is_start_of_request=self._error_status != 0
        ):
            return
        exchange = Exchange(
            self, b"", b"", "", b"", b"", self.head.request_id, None, False
        )
        self.pending.append(exchange)
        block = self._refusal_block()
        if status != _NOT_RUN_STATUS:
            block = block.removeprefix(_RETRY_LINE)
        exchange.respond(status, block)

    def _abort_transport(self, reason: CloseReason) -> None:
        self._end.reason = reason
        self._end.undelivered = self.undelivered_bytes
        self._end.unread = unread_bytes(self._transport) + self._input.waiting_bytes
        self._transport.abort()

    def _close_once_sent(self) -> None:
        self._closes_once_sent = not self._output.is_empty
        if not self._closes_once_sent:
            self._close_after_response()

    def _close_after_response(self) -> None:
        """Close the connection, after the rest of a refused body was discarded."""
        if self._uploads is None or not self._uploads.start_drain():
            self.close_delivered()
        else:
            self.update_reading()
