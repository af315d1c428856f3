"""Bound on the repeated arrivals of one service."""

from rattanfork_core.account.wants import RepeatWants
from rattanfork_core.clock import Clock
from rattanfork_core.request.importance import RANK_LIMIT, Importance

#: Parts into which the window is divided.
_PARTS = 10
#: Weight of one attempt in the share of those that came to nothing.
_WEIGHT = 0.02
#: Rank below which requests are important: postings, and what somebody waits for.
_IMPORTANT = float(Importance.NORMAL)
#: Shortest time, as a part of the window, over which the repeats that are left
#: are spread: refusals that last no longer are made good for all.
_SHORTEST_SPREAD = 0.15
#: The same for the important while others are held back.  What they leave of the
#: budget in that time is not kept for later: no trouble lasts for ever.
_IMPORTANT_SPREAD = 0.35
#: Longest time of that kind: what was spent a window ago comes back.
_LONGEST_SPREAD = 0.6


class RepeatBudget:
    """Repeats that one node may add to the arrivals of a service.

    Explanation
    ===========

    The bound is a share of the requests of a window, or of the one before it
    if that had more: a service that begins to refuse may be asked again at
    the rate of its usual traffic, although callers have meanwhile been turned
    away.  Both are counted in a sliding window, so that no span of its length
    holds more than its share.

    What is left is spread over a time that grows with the repeats that a call
    needs until it gets through.  Where few attempts come to nothing, each repeat
    saves a request that was worked for, and none is held back.  Where most do,
    several are needed for each, for as long as the trouble lasts; only what is
    important may use the budget faster.

    If more is wanted in that time than there is, the most important get all
    that they want, as observed, and the others nothing.  A request whose run
    makes several calls is only saved if each of them is, so repeats shared out
    evenly save hardly any: with half of the attempts refused and a fifth
    allowed as repeats, one run of four calls in twenty ends well, against one
    in five if the same requests get theirs at each call.  The rank orders
    equals by fate, which is the same all along a chain.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    ratio : float
        Repeats for each request.
    extra : float
        Repeats in each window besides.
    window : float
        Length of the window, in seconds.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> budget = RepeatBudget(ManualClock(), ratio=0.5, extra=0, window=10)
    >>> for _ in range(40):
    ...     budget.count_request()
    >>> [budget.spend(2.5) for _ in range(3)], budget.spent
    ([True, True, True], 3)
    """

    __slots__ = (
        "_clock",
        "_part",
        "_place",
        "_ratio",
        "_repeats",
        "_requests",
        "_share_lost",
        "_wants",
        "_window",
        "extra",
    )

    def __init__(self, clock: Clock, ratio: float, extra: float, window: float) -> None:
        self._clock = clock
        self._ratio = ratio
        #: Repeats in each window besides; changes with the number of nodes.
        self.extra = extra
        self._window = window
        self._part = window / _PARTS
        self._place = int(clock.now() / self._part)
        # Of requests two windows are kept, the newest part first.
        self._requests = [0] * (2 * _PARTS)
        self._repeats = [0] * (_PARTS + 1)
        self._share_lost = 0.0
        self._wants = RepeatWants(clock)

    @property
    def allowed(self) -> float:
        """Repeats that a window may hold now."""
        self._move()
        requests = self._requests
        most = max(
            sum(requests[:_PARTS]),
            sum(requests[_PARTS // 2 : _PARTS + _PARTS // 2]),
            sum(requests[_PARTS:]),
        )
        return self._ratio * most + self.extra

    @property
    def spent(self) -> int:
        """Repeats in the window that ends now."""
        self._move()
        return sum(self._repeats)

    @property
    def carried(self) -> float:
        """Rank below which all repeats that are wanted are granted."""
        if not self._wants.seen:
            return float(RANK_LIMIT)
        # The repeats that one call needs until it gets through.
        needed = self._share_lost / max(1e-3, 1.0 - self._share_lost)
        spread = min(_LONGEST_SPREAD, max(_SHORTEST_SPREAD, needed))
        carried = self._wants.rank_within(self._pace(spread))
        if carried >= _IMPORTANT or spread <= _IMPORTANT_SPREAD:
            return carried
        important = self._wants.rank_within(self._pace(_IMPORTANT_SPREAD))
        return max(carried, min(important, _IMPORTANT))

    def count_request(self) -> None:
        """Count a request for the service."""
        self._move()
        self._requests[0] += 1

    def count_repeat(self) -> None:
        """Count a repeat that nobody could decide on."""
        self._move()
        self._repeats[0] += 1

    def on_attempt(self, lost: bool) -> None:
        """Count an attempt, and whether it reached the service in vain."""
        self._share_lost += _WEIGHT * ((1.0 if lost else 0.0) - self._share_lost)

    def spend(self, rank: float) -> bool:
        """Take one repeat for a request of a rank, if it is carried."""
        self._wants.add(rank)
        if self.spent + 1 > self.allowed or rank >= self.carried:
            return False
        self._repeats[0] += 1
        return True

    def take_back(self) -> None:
        """Give back a repeat that did not arrive after all."""
        self._move()
        for part, count in enumerate(self._repeats):
            if count:
                self._repeats[part] -= 1
                return

    def _pace(self, spread: float) -> float:
        """Return the repeats in a second that use up the budget in a time."""
        return max(0.0, self.allowed - self.spent) / (spread * self._window)

    def _move(self) -> None:
        place = int(self._clock.now() / self._part)
        passed = place - self._place
        if passed <= 0:
            return
        self._place = place
        for counts in (self._requests, self._repeats):
            fresh = [0] * min(passed, len(counts))
            counts[:] = fresh + counts[: len(counts) - len(fresh)]
