"""Input of a connection that is passed to its parser in slices."""

import asyncio
from collections.abc import Callable

from rattanfork_node.http1.input_pacer import (
    FRAGMENTED_SLICE_BYTES,
    SLICE_BYTES,
    FragmentMeter,
    InputPacer,
    PacedInput,
)
from rattanfork_node.http1.request_body import PART_BYTES


class SlicedInput(PacedInput):
    """Passes received bytes to a parser, at once unless they are fragmented.

    Explanation
    ===========

    Fragmented input waits for the turns of the pacer.  Meanwhile nothing is read from
    the socket, so that at most what was read at once waits.

    Parameters
    ==========

    pacer : InputPacer
        Grants the turns.
    parse : callable
        Parses a slice; returns the number of callbacks that the parser made.
    on_parsed : callable
        Called after each turn in which input that waited was parsed.
    piece_bytes : callable, optional
        Returns how many of the next bytes certainly belong to one piece of a body.
    """

    def __init__(
        self,
        pacer: InputPacer,
        parse: Callable[[bytes | memoryview], int],
        on_parsed: Callable[[], None],
        piece_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        self._pacer = pacer
        self._parse = parse
        self._piece_bytes = piece_bytes
        self._on_parsed = on_parsed
        self._meter = FragmentMeter()
        self._transport: asyncio.Transport | None = None
        #: What waits to be parsed; None if nothing does.
        self._rest: memoryview | None = None

    @property
    def waiting_bytes(self) -> int:
        """Number of bytes that are held while some of them wait."""
        return 0 if self._rest is None else len(self._rest.obj)

    def receive(self, data: bytes, transport: asyncio.Transport) -> None:
        """Parse received bytes; let them wait, and pause reading, if fragmented."""
        if self._rest is None:
            if len(data) <= SLICE_BYTES and not self._meter.is_fragmented:
                self._meter.record(self._parse(data), len(data))
                return
            self._rest = memoryview(data)
            while not self._meter.is_fragmented:
                self._parse_slice(SLICE_BYTES)
                if self._rest is None:
                    return
            self._transport = transport
            transport.pause_reading()
            self._pacer.enqueue(self)
        else:
            self._rest = memoryview(bytes(self._rest) + data)

    def take_turn(self) -> bool:
        """Parse a slice of what waits; read on once nothing does."""
        if self._rest is None:
            return False
        is_fragmented = self._meter.is_fragmented
        self._parse_slice(FRAGMENTED_SLICE_BYTES if is_fragmented else SLICE_BYTES)
        if self._rest is None and not self._transport.is_closing():
            self._transport.resume_reading()
        self._on_parsed()
        return self._rest is not None

    def begin_message(self) -> None:
        """Take further input for that of another message."""
        self._meter.reset()

    def clear(self) -> None:
        """Drop what waits; the connection is closed."""
        if self._rest is not None:
            self._rest = None
            self._pacer.discard(self)

    def _parse_slice(self, size: int) -> None:
        # Larger pieces would be joined to what precedes them in one large copy.
        size = max(size, min(self._piece_bytes(), PART_BYTES))
        # The parser may drop the rest.
        part, rest = self._rest[:size], self._rest[size:]
        self._rest = rest if rest else None
        self._meter.record(self._parse(part), len(part))
