"""Bound on the lines that a process writes about requests."""

from collections import Counter

from rattanfork_core.clock import Clock
from rattanfork_core.request import request_tiebreak

#: Lines in a second.  At some 350 bytes and 10 us each, to gather, encode and
#: write, a node spends 35 kB a second and 0.1% of a core on them at most.
_RATE = 100.0
#: Lines that may be written at once after a quiet time.
_BURST = 300.0
#: Part of the burst below which requests that went well are sampled, and part
#: below which none is written: what failed has the rest for itself.
_SAMPLE_BELOW = 0.5
_NONE_BELOW = 0.25
#: Share of the requests that are kept in a sample.
_SAMPLE = 1 / 16


class LineBudget:
    """Decides which lines are written.

    Explanation
    ===========

    With little load each decision gets its line.  Under load requests that
    went well are sampled by the ID of the request at the top of the chain, so
    all nodes keep the same ones and their stories are whole; with still more,
    only what failed, was refused or came late is written, until the budget is
    spent.  What is left out is counted, so that a missing line is told from
    an event that never was.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    rate : float
        Lines in a second.
    burst : float
        Most lines at once.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> budget = LineBudget(ManualClock(), rate=1, burst=4)
    >>> [budget.allows(b"r1", plain=False) for _ in range(5)]
    [True, True, True, True, False]
    >>> budget.take_left_out()
    {'trouble': 1}
    """

    def __init__(
        self, clock: Clock, rate: float = _RATE, burst: float = _BURST
    ) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = clock.now()
        self._left_out: Counter[str] = Counter()

    def allows(self, request_id: bytes, plain: bool) -> bool:
        """Return whether a line may be written, and count it.

        Parameters
        ==========

        request_id : bytes
            ID of the request, or of a call that was made for it.
        plain : bool
            Whether all went well.
        """
        self._fill()
        if self._may_write(request_id, plain):
            self._tokens -= 1
            return True
        self._left_out["plain" if plain else "trouble"] += 1
        return False

    def take_left_out(self) -> dict[str, int]:
        """Return how many lines were left out since the last call, by kind."""
        left_out, self._left_out = dict(self._left_out), Counter()
        return left_out

    def _may_write(self, request_id: bytes, plain: bool) -> bool:
        if self._tokens < 1:
            return False
        if not plain or self._tokens > _SAMPLE_BELOW * self._burst:
            return True
        if self._tokens <= _NONE_BELOW * self._burst:
            return False
        root = request_id.partition(b".")[0]
        return request_tiebreak(root.decode("latin-1")) < _SAMPLE

    def _fill(self) -> None:
        now = self._clock.now()
        passed, self._filled_at = now - self._filled_at, now
        self._tokens = min(self._burst, self._tokens + passed * self._rate)
