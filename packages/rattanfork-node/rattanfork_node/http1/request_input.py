"""Feeds what a client sends to the parser of its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools
from rattanfork_core.clock import Clock

from rattanfork_node.http1.ignored_upgrade import make_parser_without_upgrade
from rattanfork_node.http1.input_pacer import (
    FRAGMENTED_SLICE_BYTES,
    SLICE_BYTES,
    FragmentMeter,
    InputPacer,
    PacedInput,
)

if TYPE_CHECKING:
    from rattanfork_node.http1.server_connection import ServerConnection

#: Requests in what was read at once after which the rest of it waits for turns.
_MAX_REQUESTS_AT_ONCE = 32


class RequestInput(PacedInput):
    """Input of one client connection.

    Explanation
    ===========

    Input is passed on as it is received unless it consists of tiny chunks or fields, or
    of many requests.  The rest of what was read then waits for turns, and the
    connection reads no more until they have ended.

    Parameters
    ==========

    connection : ServerConnection
        Receives the input in slices, and the callbacks of the parser.
    pacer : InputPacer or None
        Gives the turns, to all connections of the node; None if nothing waits.
    clock : Clock
        Source of the current time.
    """

    __slots__ = (
        "_clock",
        "_connection",
        "_meter",
        "_pacer",
        "_rest",
        "_waiting_since",
        "is_waiting",
        "parser",
        "pieces",
        "requests",
    )

    def __init__(
        self, connection: ServerConnection, pacer: InputPacer | None, clock: Clock
    ) -> None:
        self._connection = connection
        self._pacer = pacer
        self._clock = clock
        self._meter = FragmentMeter()
        #: What was read and not yet passed on.
        self._rest = memoryview(b"")
        self._waiting_since = 0.0
        #: Whether some of what was read waits for a turn.
        self.is_waiting = False
        #: Fields and pieces of bodies in the current slice; the connection counts them.
        self.pieces = 0
        #: Requests that began in what was read last; the connection counts them.
        self.requests = 0
        #: The parser; None if the start of the next request is unknown.
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(
            connection
        )

    @property
    def waiting_bytes(self) -> int:
        """Bytes that are held while some of them wait for a turn."""
        return len(self._rest.obj) if self.is_waiting else 0

    def receive(self, data: bytes) -> None:
        """Pass on received bytes, up to where they are fragmented."""
        if self.is_waiting:
            self._rest = memoryview(bytes(self._rest) + data)
            return
        connection = self._connection
        self.requests = 0
        if len(data) <= SLICE_BYTES:
            if not connection.is_receiving:
                self._meter.reset()
            if not self._is_costly:
                self.pieces = 0
                connection.on_input(data, is_last=True)
                self._meter.record(self.pieces, len(data))
                return
        self._rest = memoryview(data)
        while self._rest and not self._is_costly:
            self._pass_on(max(SLICE_BYTES, connection.remaining_body_bytes))
        if self._rest and connection.is_discarding:
            self._pass_on(len(self._rest))
        if self._rest:
            self.is_waiting = True
            self._waiting_since = self._clock.now()
            self._pacer.enqueue(self)
            connection.on_input_waiting()

    def take_turn(self) -> bool:
        """Pass on a slice of what waits; return whether more does."""
        if self._connection.is_discarding:
            self._pass_on(len(self._rest))
        else:
            self._pass_on(FRAGMENTED_SLICE_BYTES if self._is_costly else SLICE_BYTES)
        if self.is_waiting and not self._rest:
            self.is_waiting = False
            self._connection.on_input_parsed(self._clock.now() - self._waiting_since)
        return self.is_waiting

    def parse(self, data: bytes | memoryview) -> None:
        """Feed the parser, and ignore offers to upgrade the connection."""
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                [parsed] = offer.args
                self.parser, head = make_parser_without_upgrade(
                    self.parser,
                    self._connection,
                    bytes(self._connection.head.framing),
                )
                data = head + data[parsed:]

    def discard(self) -> None:
        """Discard what waits."""
        self._rest = memoryview(b"")
        if self.is_waiting:
            self.is_waiting = False
            self._pacer.discard(self)

    @property
    def _is_costly(self) -> bool:
        """Whether what follows is to be parsed in turns."""
        if self._pacer is None:
            return False
        return self._meter.is_fragmented or self.requests > _MAX_REQUESTS_AT_ONCE

    def _pass_on(self, size: int) -> None:
        part = self._rest[:size]
        # Before the call, which may discard the rest.
        self._rest = self._rest[size:]
        self.pieces = 0
        self._connection.on_input(part, is_last=not self._rest)
        self._meter.record(self.pieces, len(part))
