"""Budget of memory for responses that are received, passed on or not sent yet."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from rattanfork_core.clock import Clock
from rattanfork_core.memory import MemoryRoom

#: Capacity without a memory limit, in bytes.
MAX_RESPONSE_BYTES = 64 << 20
#: Seconds for which a response keeps its room while others wait for some.
_MIN_HELD_S = 2.0


class ResponseHolder(ABC):
    """Holds a response, or the part of one that has been received so far."""

    @abstractmethod
    def evict(self) -> None:
        """Free the bytes, and neither receive nor send the rest of the response."""


@dataclass(slots=True)
class _Held:
    """What one holder holds.

    Parameters
    ==========

    size : int
        Bytes that are held.
    since : float
        When it began to hold any, in seconds of the clock.
    """

    size: int
    since: float


@dataclass(slots=True, frozen=True)
class _Waiting:
    """A response that is received once there is room for all of it.

    Parameters
    ==========

    holder : ResponseHolder
        Holds the response.
    size : int
        Its size in bytes.
    on_granted : callable
        Called once the room is reserved.
    """

    holder: ResponseHolder
    size: int
    on_granted: Callable[[], None]


class ResponseBudget:
    """Bounds the memory that responses take at one node.

    Explanation
    ===========

    A response may have no end, and its reader may never finish.  If the budget is
    exhausted, the response is evicted that has taken the most memory for the longest
    time: the product of size and age is small for a response that is passed on, and
    grows for one that isn't, however many clients there are and however little each
    of them holds.

    A response whose size is known can wait for room with :meth:`reserve`, so that those
    that arrive together are passed on one after another.

    Parameters
    ==========

    capacity : int
        Size of the budget, in bytes.
    max_response : int, optional
        Maximum size of one response, in bytes; the whole budget by default.
    clock : Clock, optional
        Source of the current time; without one the largest response is evicted.
    room : MemoryRoom, optional
        Room that the budget shares with others.

    Examples
    ========

    >>> class Response(ResponseHolder):
    ...     def evict(self):
    ...         print("evicted")
    >>> budget, endless, short = ResponseBudget(100), Response(), Response()
    >>> budget.hold(endless, 70)
    >>> budget.hold(short, 40)
    evicted
    >>> budget.held
    40
    """

    def __init__(
        self,
        capacity: int = MAX_RESPONSE_BYTES,
        max_response: int | None = None,
        clock: Clock | None = None,
        room: MemoryRoom | None = None,
    ) -> None:
        self._capacity = capacity
        self._max_response = capacity if max_response is None else max_response
        self._clock = clock
        self._room = MemoryRoom(capacity) if room is None else room
        self._holders: dict[ResponseHolder, _Held] = {}
        self._held = 0
        self._waiting: deque[_Waiting] = deque()
        self._is_granting = False
        self._room.notify(self._grant_waiting)

    @property
    def capacity(self) -> int:
        """Size of the budget, in bytes."""
        return self._capacity

    @property
    def held(self) -> int:
        """Bytes that are held or reserved."""
        return self._held

    @property
    def waiting(self) -> int:
        """Number of responses that wait for room."""
        return len(self._waiting)

    def hold(self, holder: ResponseHolder, size: int) -> None:
        """Set how many bytes a response holds; evict others if needed.

        This may evict ``holder`` itself.
        """
        # What is freed here is for the holder, not for those that wait.
        was_granting, self._is_granting = self._is_granting, True
        try:
            self._set_size(holder, size)
            if size > self._max_response:
                self._evict(holder)
            while self._holders and not self._fits(0):
                self._evict(self._find_victim(0.0))
        finally:
            self._is_granting = was_granting

    def reserve(
        self, holder: ResponseHolder, size: int, on_granted: Callable[[], None]
    ) -> None:
        """Hold a response of a known size as soon as there is room for all of it.

        Parameters
        ==========

        holder : ResponseHolder
            Holds the response; is evicted if the budget is too small for it.
        size : int
            Its size in bytes.
        on_granted : callable
            Called once the room is reserved, unless it is released before.
        """
        if size > min(self._max_response, self._capacity):
            holder.evict()
            return
        self._waiting.append(_Waiting(holder, size, on_granted))
        self._grant_waiting()

    def release(self, holder: ResponseHolder) -> None:
        """Release the bytes of a response, and its place among those that wait."""
        if self._waiting:
            self._waiting = deque(w for w in self._waiting if w.holder is not holder)
        held = self._holders.pop(holder, None)
        if held is not None:
            self._held -= held.size
            self._room.change(-held.size)

    @contextmanager
    def hand_over(self, holder: ResponseHolder) -> Iterator[None]:
        """Release a response while another holder takes it, before any that waits."""
        was_granting, self._is_granting = self._is_granting, True
        try:
            self.release(holder)
            yield
        finally:
            self._is_granting = was_granting
            self._grant_waiting()

    def sweep(self) -> None:
        """Evict a response for those that wait; call about twice a second."""
        if self._waiting:
            victim = self._find_victim(_MIN_HELD_S)
            if victim is not None:
                self._evict(victim)
            self._grant_waiting()

    def _fits(self, size: int) -> bool:
        return self._held + size <= self._capacity and size <= self._room.free

    def _set_size(self, holder: ResponseHolder, size: int) -> None:
        held = self._holders.get(holder)
        if held is None:
            held = self._holders[holder] = _Held(0, self._now())
        change, held.size = size - held.size, size
        self._held += change
        self._room.change(change)

    def _evict(self, holder: ResponseHolder) -> None:
        self.release(holder)
        holder.evict()

    def _find_victim(self, min_age: float) -> ResponseHolder | None:
        """Return the holder with the most bytes for the longest time, if any."""
        now = self._now()
        victim, most = None, (-1.0, -1)
        for holder, held in self._holders.items():
            age = now - held.since
            cost = (age * held.size, held.size)
            if age >= min_age and cost > most:
                victim, most = holder, cost
        return victim

    def _grant_waiting(self) -> None:
        if self._is_granting:
            return
        self._is_granting = True
        try:
            while self._waiting and self._fits(self._waiting[0].size):
                first = self._waiting.popleft()
                self._set_size(first.holder, first.size)
                first.on_granted()
        finally:
            self._is_granting = False

    def _now(self) -> float:
        return 0.0 if self._clock is None else self._clock.now()
