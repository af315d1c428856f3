"""Continues requests that offer to upgrade their connection to another protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

if TYPE_CHECKING:
    from rattanfork_node.http1.server_connection import ServerConnection


class _RemainingCallbacks:
    """Callbacks of a parser that begins within a request; those of its head end here.

    Parameters
    ==========

    connection : ServerConnection
        Receives the other callbacks.
    """

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection
        self._in_first_head = True
        self.on_body = connection.on_body
        self.on_message_complete = connection.on_message_complete

    def on_message_begin(self) -> None:
        """Start a later request."""
        if not self._in_first_head:
            self._connection.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Pass on the target of a later request."""
        if not self._in_first_head:
            self._connection.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass on a header of a later request."""
        if not self._in_first_head:
            self._connection.on_header(name, value)

    def on_headers_complete(self) -> None:
        """End the head of a request."""
        if self._in_first_head:
            self._in_first_head = False
        else:
            self._connection.on_headers_complete()


def make_parser_without_upgrade(
    parser: httptools.HttpRequestParser, connection: ServerConnection, framing: bytes
) -> tuple[httptools.HttpRequestParser, bytes]:
    """Return a parser for the rest of a request, and the head to feed it first.

    Explanation
    ===========

    A server may ignore the offer of an upgrade (RFC 9110, section 7.8), and the request
    then has the body that its head declares.  The parser ends such a request at its
    head, whatever body follows.

    Parameters
    ==========

    parser : httptools.HttpRequestParser
        Parser that has ended the request at its head.
    connection : ServerConnection
        Receives the callbacks.
    framing : bytes
        Header lines that declare the body of the request.
    """
    version = parser.get_http_version().encode()
    keep_alive = b"keep-alive" if parser.should_keep_alive() else b"close"
    head = b"%b / HTTP/%b\r\nConnection: %b\r\n%b\r\n" % (
        parser.get_method(),
        version,
        keep_alive,
        framing,
    )
    return httptools.HttpRequestParser(_RemainingCallbacks(connection)), head
