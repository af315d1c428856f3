"""Bounds the processor time that input of many small pieces takes."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque

from rattanfork_core.clock import Clock, ThreadTimeClock

#: Size up to which input is parsed at once, in bytes, unless it is fragmented.
SLICE_BYTES = 8 << 10
#: Size of the slices of fragmented input, in bytes.
FRAGMENTED_SLICE_BYTES = 1 << 10
#: Processor time, in seconds, after which a turn ends with the current slice.
_TURN_S = 0.002
#: Share of the time that paced input may take.
_MAX_SHARE = 0.25
#: Callbacks of the parser for a message beyond one for this many bytes, above which
#: its input is fragmented.  A head of a hundred fields has a hundred.
_BYTES_PER_CALLBACK = 256
_MAX_EXCESS_CALLBACKS = 256
#: Maximum excess that is remembered, so that large pieces soon make up for it.
_EXCESS_LIMIT = 2 * _MAX_EXCESS_CALLBACKS


class FragmentMeter:
    """Tells whether the input of a message causes many callbacks for few bytes.

    Examples
    ========

    >>> meter = FragmentMeter()
    >>> meter.record(20, 600)
    >>> meter.is_fragmented
    False
    >>> meter.record(1000, 6000)
    >>> meter.is_fragmented
    True
    >>> meter.reset()
    >>> meter.is_fragmented
    False
    """

    __slots__ = ("_excess", "is_fragmented")

    def __init__(self) -> None:
        self._excess = 0
        #: Whether further input is to be parsed in the turns of a pacer.
        self.is_fragmented = False

    def record(self, callbacks: int, size: int) -> None:
        """Count the callbacks of the parser for ``size`` bytes."""
        excess = self._excess + callbacks - size // _BYTES_PER_CALLBACK
        self._excess = min(max(excess, 0), _EXCESS_LIMIT)
        self.is_fragmented = excess > _MAX_EXCESS_CALLBACKS

    def reset(self) -> None:
        """Begin with another message."""
        self._excess = 0
        self.is_fragmented = False


class PacedInput(ABC):
    """Received input that waits to be parsed."""

    @abstractmethod
    def take_turn(self) -> bool:
        """Parse a slice of it; return whether more waits."""


class InputPacer:
    """Parses the fragmented input of all connections of a node, a little at a time.

    Explanation
    ===========

    A chunk of one byte costs as much processor time as one of many kilobytes, so a
    bound of bytes does not bound the time.  In one iteration of the event loop
    fragmented input is parsed for a few milliseconds, a slice for each connection in
    turn, and then not for a multiple of that time.  All other connections are served in
    between, however many have such input.

    Parameters
    ==========

    processor_time : Clock, optional
        Measures the processor time of the event loop's thread.
    """

    def __init__(self, processor_time: Clock | None = None) -> None:
        self._processor_time = processor_time or ThreadTimeClock()
        self._waiting: deque[PacedInput] = deque()
        self._timer: asyncio.TimerHandle | None = None
        #: When the next turn may begin, in seconds of the event loop.
        self._next_turn_at = 0.0

    @property
    def waiting(self) -> int:
        """Number of connections whose input waits."""
        return len(self._waiting)

    def enqueue(self, source: PacedInput) -> None:
        """Let a source take turns until it has no more input, or is discarded."""
        self._waiting.append(source)
        if self._timer is None:
            self._schedule()

    def discard(self, source: PacedInput) -> None:
        """Let a source take no more turns; no effect if it does not wait."""
        if source in self._waiting:
            self._waiting.remove(source)

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._next_turn_at, self._run_turn)

    def _run_turn(self) -> None:
        self._timer = None
        now = self._processor_time.now
        started = now()
        try:
            while self._waiting and now() - started < _TURN_S:
                source = self._waiting.popleft()
                if source.take_turn():
                    self._waiting.append(source)
        finally:
            pause = (now() - started) * (1 / _MAX_SHARE - 1)
            self._next_turn_at = asyncio.get_running_loop().time() + pause
            if self._waiting:
                self._schedule()
