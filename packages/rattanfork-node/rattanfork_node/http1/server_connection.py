"""One connection of a client."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools

from rattanfork_node.http1.exchange import Exchange
from rattanfork_node.http1.limits import RequestLimits
from rattanfork_node.http1.render import render_response

if TYPE_CHECKING:
    from rattanfork_node.http1.server import HttpServer

#: Requests of one connection that may wait for their answers.  Far above
#: what clients pipeline; it bounds what one connection can make a node hold.
_MOST_PIPELINED = 64
#: Seconds for which a client may leave an answer unread.
_SLOW_READER_TIMEOUT = 20.0
#: Bytes of unread answers for one client at which no more requests are read.
_UNREAD_BYTES = 256 << 10


class ServerConnection(asyncio.Protocol):
    """One connection of a client.

    Explanation
    ===========

    Pipelined requests run side by side and are answered in their order: one
    after another, the last of a batch would wait for all the others.

    A request that was read behind one whose answer closes the connection is
    dropped, never passed on: the client takes it as unread and sends it
    again, so passing it on would run it twice.
    """

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self.pending: deque[Exchange] = deque()
        self._closing = False
        self._lost = False
        #: No further request of this connection may be passed on.
        self._after_close = False
        self._leaving = False
        self._mid_request = False
        self._paused = False
        self._writable = True
        self._last_active = server.clock.now()
        self._head_since: float | None = None
        self._reset_request()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=_UNREAD_BYTES)
        self._server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the handler that nobody waits any more."""
        self._lost = True
        self._server.connections.discard(self)
        for exchange in self.pending:
            exchange.answered = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()
        self.pending.clear()

    def pause_writing(self) -> None:
        """Stop reading requests: the client does not read its answers."""
        self._writable = False
        self._last_active = self._server.clock.now()
        self._regulate()

    def resume_writing(self) -> None:
        """Read on."""
        self._writable = True
        self._regulate()

    def data_received(self, data: bytes) -> None:
        """Take in bytes."""
        if self._closing or self._after_close:
            return
        self._last_active = self._server.clock.now()
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request itself was passed on; what follows is of a protocol
            # that is not spoken here.
            self._after_close = True
            if self.pending:
                self.pending[-1].keep_alive = False
        except httptools.HttpParserError:
            # What follows can't be told apart from a body or a request.
            self._reject(self._error_status or 400)
        else:
            # Counted from the second piece of a head on: of the first it is
            # not known how much belongs to the request before.
            if self._reading_head and self._head_bytes > self._limits.max_head_bytes:
                self._reject(431)
        self._regulate()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset_request()
        self._reading_head = True
        self._mid_request = True
        self._head_since = self._server.clock.now()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; a field of a trailer is none."""
        if not self._reading_head:
            return
        lower = name.lower()
        server = self._server
        self._head_size += len(name) + len(value)
        if lower == server.request_id_name:
            self._request_id = value
        elif lower == server.deadline_name:
            self._wait = _seconds(value)
        elif lower == server.key_name:
            self._keys.append(value)
        elif lower == b"host":
            self._hosts.append(value)
        elif lower == b"expect" and value.lower() == b"100-continue":
            self._continue = True
        if lower not in server.stripped:
            self._block += name + b": " + value + b"\r\n"

    def on_headers_complete(self) -> None:
        """Check the head."""
        self._reading_head = False
        self._head_since = None
        if self._head_size + len(self._target) > self._limits.max_head_bytes:
            self._fail(431)
        if len(self._hosts) != 1 or not self._target.startswith(b"/"):
            # With no host, or two, nodes could disagree on the route.
            self._fail(400)
        if self._continue and not self.pending:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_size += len(body)
        if self._body_size > self._limits.max_body_bytes:
            self._fail(413)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Pass on a request that was read whole."""
        self._mid_request = False
        if self._closing or self._after_close:
            return
        exchange = Exchange(
            self,
            self._parser.get_method(),
            self._target,
            _hostname(self._hosts[0]),
            bytes(self._block),
            b"".join(self._body),
            self._request_id,
            self._wait,
            self._parser.should_keep_alive() and not self._server.leaving,
            tuple(self._keys),
        )
        self._after_close = not exchange.keep_alive
        self._head_bytes = 0
        self._body = []
        self.pending.append(exchange)
        self._server.handler.on_request(exchange)

    def flush_responses(self) -> None:
        """Write the answers whose turn it is."""
        pending = self.pending
        if self._lost:
            return
        parts: list[bytes] = []
        while pending and pending[0].output is not None:
            exchange = pending.popleft()
            status, block, body = exchange.output
            close = not exchange.keep_alive or (self._leaving and not pending)
            head = exchange.method == b"HEAD"
            parts.append(render_response(status, block, body, close, head))
            if close:
                self._closing = True
                break
        if parts:
            self._last_active = self._server.clock.now()
            self._transport.write(b"".join(parts))
            if self._closing:
                self._transport.close()
            else:
                self._regulate()

    def leave(self) -> None:
        """Close once all that was read is answered."""
        self._leaving = True
        if self.pending:
            # What comes from here on would stand behind a closing answer.
            self._after_close = True
        elif not self._mid_request:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def check_time(self, now: float) -> None:
        """Close the connection if its client is too slow."""
        limits = self._limits
        if self._head_since is not None:
            if now - self._head_since > limits.head_timeout:
                self._reject(408)
        elif not self._writable:
            if now - self._last_active > _SLOW_READER_TIMEOUT:
                self._transport.abort()
        elif not self.pending and now - self._last_active > limits.idle_timeout:
            self.close()

    @property
    def _limits(self) -> RequestLimits:
        return self._server.limits

    def _reset_request(self) -> None:
        self._target = b""
        self._block = bytearray()
        self._hosts: list[bytes] = []
        self._keys: list[bytes] = []
        self._request_id = b""
        self._wait: float | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._head_size = 0
        self._head_bytes = 0
        self._continue = False
        self._reading_head = False
        self._error_status = 0

    def _fail(self, status: int) -> None:
        self._error_status = status
        raise ValueError(f"refused with {status}")

    def _reject(self, status: int) -> None:
        """Answer what can't be read, behind what was read before, and close."""
        if self._closing or self._after_close:
            return
        self._head_since = None
        self._after_close = True
        self._parser = None
        exchange = Exchange(self, b"", b"", "", b"", b"", self._request_id, None, False)
        self.pending.append(exchange)
        names = self._server.names
        block = b""
        if self._request_id:
            block = names.request_id + b": " + self._request_id + b"\r\n"
        exchange.respond(status, block)

    def _regulate(self) -> None:
        full = not self._writable or len(self.pending) >= _MOST_PIPELINED
        if full == self._paused or self._closing or self._lost:
            return
        self._paused = full
        if full:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()


def _seconds(milliseconds: bytes) -> float | None:
    try:
        return max(0.0, int(milliseconds) / 1000)
    except ValueError:
        return None


def _hostname(host: bytes) -> str:
    if b":" in host and not host.endswith(b"]"):
        host = host.rpartition(b":")[0]
    return host.decode("latin-1").lower()
