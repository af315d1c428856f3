"""Which requests may have ended an upstream."""

from collections import deque
from collections.abc import Iterable

from rattanfork_core.clock import Clock

#: Seconds before the end of an upstream is known in which a lost run may have caused
#: it: one that is started again at once is known by its next announcement only.
_LOST_WITHIN = 3.0
#: Seconds for which at least a request is known to have run with success, and how many.
_REMEMBERED_FOR = 60.0
_MOST_REMEMBERED = 4096


class CrashWitness:
    """Keeps what is needed to accuse requests when an upstream ends.

    Explanation
    ===========

    All that was under way when an upstream ended may have ended it.  What the same
    gate has seen run with success lately has not: this keeps a request that many
    callers send, and that is under way at any moment, out of suspicion.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> witness = CrashWitness(ManualClock())
    >>> witness.on_success(1)
    >>> witness.on_lost(1)
    >>> witness.on_lost(2)
    >>> witness.on_ended([3])
    frozenset({2, 3})
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lost: deque[tuple[float, int]] = deque()
        self._succeeded: set[int] = set()
        self._succeeded_before: set[int] = set()
        self._next_turn = clock.now() + _REMEMBERED_FOR

    def on_success(self, fingerprint: int) -> None:
        """Take note that a request ran with success."""
        full = len(self._succeeded) >= _MOST_REMEMBERED
        if full or self._clock.now() >= self._next_turn:
            self._succeeded_before, self._succeeded = self._succeeded, set()
            self._next_turn = self._clock.now() + _REMEMBERED_FOR
        self._succeeded.add(fingerprint)

    def on_lost(self, fingerprint: int) -> None:
        """Take note that a run ended, or was given up, without an answer."""
        self._drop_old()
        self._lost.append((self._clock.now(), fingerprint))

    def on_ended(self, under_way: Iterable[int] = ()) -> frozenset[int]:
        """Return the requests that may have ended the upstream.

        Parameters
        ==========

        under_way : iterable of int
            Requests that are still waited for there.
        """
        self._drop_old()
        lost = {fingerprint for _, fingerprint in self._lost}
        self._lost.clear()
        accused = lost.union(under_way) - self._succeeded - self._succeeded_before
        return frozenset(accused)

    def _drop_old(self) -> None:
        oldest = self._clock.now() - _LOST_WITHIN
        while self._lost and self._lost[0][0] < oldest:
            self._lost.popleft()
