"""Reports the end of a client's connection if it leaves something unfinished."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from rattanfork_node.http1.connection_end import (
    CloseReason,
    ConnectionEnd,
    RequestStage,
    UnansweredRequest,
)
from rattanfork_node.http1.exchange import Exchange

if TYPE_CHECKING:
    from rattanfork_node.http1.server import HttpServer


class EndReport:
    """What is known of the end of one connection; sent once.

    Parameters
    ==========

    server : HttpServer
        Its observer is told.
    """

    __slots__ = ("_is_sent", "_server", "reason", "undelivered", "unread")

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._is_sent = False
        #: Why the connection ends; ``CLIENT`` until this side closes it.
        self.reason = CloseReason.CLIENT
        #: Bytes that the client had not acknowledged, and that were not read, when
        #: this side closed the connection.
        self.undelivered = self.unread = 0

    def send(self, pending: Iterable[Exchange]) -> None:
        """Report requests without a response, and bytes left in the queues."""
        if self._is_sent:
            return
        self._is_sent = True
        unanswered = [
            UnansweredRequest(exchange.request_id, RequestStage.of(exchange))
            for exchange in pending
        ]
        if unanswered or self.undelivered or self.unread:
            self._server.ends.on_unfinished(
                ConnectionEnd(self.reason, unanswered, self.undelivered, self.unread)
            )
