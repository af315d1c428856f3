"""Large bodies of one client connection: order, 100-continue, the rest of a body."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httptools
from rattanfork_core.request import Reason

from rattanfork_node.http1.body_drain import BodyDrain
from rattanfork_node.http1.upload import Upload

if TYPE_CHECKING:
    from rattanfork_node.http1.exchange import Exchange
    from rattanfork_node.http1.server import HttpServer
    from rattanfork_node.http1.server_connection import ServerConnection

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class UploadReceiver:
    """Receives the uploads of one client connection.

    Explanation
    ===========

    A connection creates its receiver with the first large body, so that connections
    without uploads carry none of its state.

    Parameters
    ==========

    connection : ServerConnection
        The connection.
    server : HttpServer
        Its server, with the budget for bodies.
    transport : asyncio.Transport
        Its transport.
    """

    __slots__ = (
        "_connection",
        "_drain",
        "_ended",
        "_server",
        "_transport",
        "current",
    )

    def __init__(
        self,
        connection: ServerConnection,
        server: HttpServer,
        transport: asyncio.Transport,
    ) -> None:
        self._connection = connection
        self._server = server
        self._transport = transport
        self._drain: BodyDrain | None = None
        #: Uploads whose bodies ended in the bytes that are being parsed.
        self._ended: list[Upload] = []
        #: The upload whose body is being received or, after a refusal, discarded.
        self.current: Upload | None = None

    @property
    def is_paused(self) -> bool:
        """Whether reading from the client has to pause."""
        if self._drain is not None:
            return self._drain.is_paused
        current = self.current
        if current is None:
            return False
        # The rest of a refused body is read once the response has been written.
        return current.is_paused or current.exchange.answered

    @property
    def is_draining(self) -> bool:
        """Whether the rest of a refused body is read and discarded."""
        return self._drain is not None

    def begin(
        self,
        exchange: Exchange,
        declared: int | None,
        wants_continue: bool,
        is_counted: bool,
    ) -> bool:
        """Offer a request to the handler before its body; return whether it took it."""
        exchange.upload = self.current = Upload(
            self,
            exchange,
            self._server.clock,
            self._server.uploads,
            declared,
            self._server.limits.max_body_bytes,
            wants_continue,
            is_counted,
        )
        self._connection.enqueue(exchange)
        if self._server.handler.on_head(exchange):
            self._server.uploads.events["upload.requests"] += 1
            return True
        self._connection.remove(exchange)
        self.current = None
        return False

    def receive(self, data: bytes) -> None:
        """Pass on bytes of the current body."""
        self.current.on_bytes(data)

    def end(self) -> Upload:
        """Handle the end of the current body, which :meth:`deliver` passes on."""
        upload, self.current = self.current, None
        upload.on_end()
        if self._drain is not None:
            self._drain.finish()
        elif not upload.exchange.answered:
            self._ended.append(upload)
        return upload

    def deliver(self) -> None:
        """Pass on the bodies that ended, once the received bytes were parsed."""
        if self._ended:
            ended, self._ended = self._ended, []
            for upload in ended:
                upload.deliver()

    def refuse_malformed(self, is_start_of_request: bool) -> bool:
        """Refuse the upload that a parse error belongs to; return whether there is one.

        Explanation
        ===========

        Bytes right after the declared end of a body that can't begin a request show
        that the body is longer than declared.

        Parameters
        ==========

        is_start_of_request : bool
            Whether the bytes were parsed as a request, which then was rejected.
        """
        if self.current is None:
            pending = self._connection.pending
            if (
                is_start_of_request
                or not self._ended
                or pending[-1] is not self._ended[-1].exchange
            ):
                return False
            self.current = self._ended.pop()
        self.current.exchange.keep_alive = False
        self.current.refuse(Reason.BODY_INCOMPLETE)
        return True

    def refuse_for_room(self) -> None:
        """Refuse the current upload, if any, as its input takes too much memory."""
        if self.current is not None:
            self.current.exchange.keep_alive = False
            self.current.refuse(Reason.NO_BODY_ROOM)

    def continue_upload(self, upload: Upload) -> None:
        """Let the client send the body of an upload that may be read."""
        pending = self._connection.pending
        is_next = pending and pending[0] is upload.exchange
        if upload.wants_continue and is_next and not upload.is_paused:
            upload.wants_continue = False
            self._server.uploads.events["upload.continue"] += 1
            self._connection.write(_CONTINUE)
        self._connection.update_reading()

    def drop_requests(self) -> None:
        """Drop the requests after an upload whose response closes the connection."""
        self._connection.drop_requests()

    def start_drain(self) -> bool:
        """Begin to discard the rest of a refused body; return whether there is one."""
        if self.current is None:
            return False
        events = self._server.uploads.events
        self._drain = BodyDrain(
            self._server.clock,
            self._transport,
            self._connection.close_delivered,
            events,
        )
        return True

    def discard(
        self, data: bytes | memoryview, parser: httptools.HttpRequestParser | None
    ) -> httptools.HttpRequestParser | None:
        """Discard received bytes; return the parser, or None if they are malformed.

        The parser finds the end of the body, which closes the connection.
        """
        if self._drain is not None:
            self._drain.on_bytes(len(data), is_malformed=parser is None)
        if self.current is not None and parser is not None:
            try:
                parser.feed_data(data)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                parser = None
        self._connection.update_reading()
        return parser

    def on_eof(self) -> None:
        """Refuse an upload whose client ended the connection within the body."""
        upload, self.current = self.current, None
        if upload is not None:
            upload.refuse(Reason.BODY_INCOMPLETE)

    def on_lost(self) -> None:
        """Receive nothing more, as the connection is closed."""
        self.current = None
        self._ended.clear()
        if self._drain is not None:
            self._drain.cancel()
