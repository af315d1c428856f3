"""Which requests may have crashed an upstream."""

from collections import deque
from collections.abc import Iterable

from rattanfork_core.clock import Clock

#: Seconds between a lost run and the detection of a crash that it may have caused: an
#: upstream that restarts at once is detected by its next announcement.
_DETECTION_WINDOW = 3.0
#: Seconds for which at least a success is remembered, and how many of them.
_REMEMBERED_FOR = 60.0
_MOST_REMEMBERED = 4096


class SuspectTracker:
    """Names the requests that may have crashed the upstream of one gate.

    Explanation
    ===========

    Every request in flight at a crash is a suspect, unless the same gate has seen it
    succeed lately: a popular request is in flight at any moment, and must not be
    suspected for that.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> tracker = SuspectTracker(ManualClock())
    >>> tracker.on_success(1)
    >>> tracker.on_lost(1)
    >>> tracker.on_lost(2)
    >>> tracker.on_crash([3])
    frozenset({2, 3})
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lost: deque[tuple[float, int]] = deque()
        self._succeeded: set[int] = set()
        self._succeeded_before: set[int] = set()
        self._next_rotation = clock.now() + _REMEMBERED_FOR

    def on_success(self, fingerprint: int) -> None:
        """Record that a run succeeded."""
        full = len(self._succeeded) >= _MOST_REMEMBERED
        if full or self._clock.now() >= self._next_rotation:
            self._succeeded_before, self._succeeded = self._succeeded, set()
            self._next_rotation = self._clock.now() + _REMEMBERED_FOR
        self._succeeded.add(fingerprint)

    def has_succeeded(self, fingerprint: int) -> bool:
        """Return whether a run of the request succeeded lately."""
        return fingerprint in self._succeeded or fingerprint in self._succeeded_before

    def on_lost(self, fingerprint: int) -> None:
        """Record that a run ended, or was cancelled, without an answer."""
        self._drop_old()
        self._lost.append((self._clock.now(), fingerprint))

    def on_crash(self, in_flight: Iterable[int] = ()) -> frozenset[int]:
        """Return the suspects of a crash.

        Parameters
        ==========

        in_flight : iterable of int
            Requests that still wait for the answer of the crashed upstream.
        """
        self._drop_old()
        lost = {fingerprint for _, fingerprint in self._lost}
        self._lost.clear()
        candidates = lost.union(in_flight)
        return frozenset(f for f in candidates if not self.has_succeeded(f))

    def _drop_old(self) -> None:
        oldest = self._clock.now() - _DETECTION_WINDOW
        while self._lost and self._lost[0][0] < oldest:
            self._lost.popleft()
