"""Suspects of the crashes of one upstream, as seen by the gate in front of it."""

from collections import deque
from collections.abc import Callable, Iterable

from rattanfork_core.clock import Clock

#: Maximum seconds between the loss of a request and the detection of the crash.  An
#: upstream that restarts at once is only detected by its next announcement.
_DETECTION_WINDOW_S = 3.0
#: Successes are kept in two generations.  A new one is started after these seconds,
#: or when the current one holds this many successes.
_GENERATION_S = 60.0
_MAX_GENERATION_SIZE = 4096
#: Successes whose fingerprints are not computed yet; each keeps its request in memory.
_MAX_PENDING = 64


class SuspectTracker:
    """Tracks lost and completed requests of one gate, to find suspects of a crash.

    Explanation
    ===========

    Every request in flight at a crash is a suspect, unless the same gate has recently
    seen it succeed: a popular request is in flight most of the time, and therefore
    also at crashes that it did not cause.

    The fingerprints of successes are only read after a loss, so they are computed
    several at a time, which costs less than to compute one after each run.

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
        self._previous_succeeded: set[int] = set()
        self._next_rotation = clock.now() + _GENERATION_S
        #: Functions that compute the fingerprints of the latest successes.
        self._pending: list[Callable[[], int]] = []

    def defer_success(self, fingerprint: Callable[[], int]) -> None:
        """Record a success whose fingerprint is to be computed later."""
        self._pending.append(fingerprint)
        if len(self._pending) >= _MAX_PENDING:
            self.record_pending()

    def record_pending(self) -> None:
        """Compute the fingerprints of deferred successes; call every few seconds."""
        pending, self._pending = self._pending, []
        for fingerprint in pending:
            self.on_success(fingerprint())

    def on_success(self, fingerprint: int) -> None:
        """Record that the upstream completed a request."""
        is_full = len(self._succeeded) >= _MAX_GENERATION_SIZE
        if is_full or self._clock.now() >= self._next_rotation:
            self._previous_succeeded, self._succeeded = self._succeeded, set()
            self._next_rotation = self._clock.now() + _GENERATION_S
        self._succeeded.add(fingerprint)

    def has_succeeded(self, fingerprint: int) -> bool:
        """Return whether the upstream recently completed the request."""
        if self._pending:
            self.record_pending()
        return fingerprint in self._succeeded or fingerprint in self._previous_succeeded

    def on_lost(self, fingerprint: int) -> None:
        """Record that a request ended, or was cancelled, without a response."""
        self._drop_expired()
        self._lost.append((self._clock.now(), fingerprint))

    def on_crash(self, in_flight: Iterable[int] = ()) -> frozenset[int]:
        """Return the suspects of a crash, and drop the losses recorded so far.

        Parameters
        ==========

        in_flight : iterable of int
            Requests that still wait for a response of the crashed upstream.
        """
        self._drop_expired()
        lost = {fingerprint for _, fingerprint in self._lost}
        self._lost.clear()
        candidates = lost.union(in_flight)
        return frozenset(f for f in candidates if not self.has_succeeded(f))

    def _drop_expired(self) -> None:
        earliest = self._clock.now() - _DETECTION_WINDOW_S
        while self._lost and self._lost[0][0] < earliest:
            self._lost.popleft()
