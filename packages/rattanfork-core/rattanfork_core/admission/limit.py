"""How many requests may run at the upstream at once."""

from dataclasses import dataclass

from rattanfork_core.clock import Clock

#: Slow-down, as a multiple of the base, at which queueing is suspected.
_SUSPECT = 2.5
#: Factor by which the limit is lowered for a test.
_TEST_FACTOR = 0.7
#: A test confirms queueing if the slow-down falls to this share or less.
_CONFIRM = 0.85
#: Runs that make up one side of a test.
_SAMPLES = 30
_WEIGHT = 0.1
#: Shortest base, in seconds.  Runs shorter than this vary by more than
#: themselves with the turns of an event loop, and no caller feels it.
_LEAST_BASE = 0.04
#: The base follows the lower quartile by steps small enough that a test ends
#: long before slow runs have become the base; it falls fast to much faster runs.
_BASE_STEP = 0.0001
_FAR_BELOW = 0.5
_BASE_CATCH_UP = 0.1
_MOST_OPERATIONS = 256


@dataclass(slots=True)
class _LimitTest:
    """A test under way: first the old limit is measured, then the lower."""

    old_limit: float
    since: float
    before: float | None = None
    skip: int = 0
    total: float = 0.0
    seen: int = 0


class ConcurrencyLimit:
    """A concurrency limit found from the service times the guard sees.

    Explanation
    ===========

    The announced slots are an upper bound that may be wrong, and health and
    load endpoints lag or lie, so neither is trusted alone.  Service times
    well above their base mean either that the upstream queues inside (the
    limit is too high) or that each run has become slower (a deep service is
    slow).  Lowering the limit in the second case would only lose capacity.
    So the limit is lowered for a test: with a queue inside, service time is
    limit over throughput and falls with the limit; without one it stays.
    Only in the first case does the lower limit remain.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    slots : int
        Announced slots, the highest limit.
    warmup : float
        Seconds over which a cold instance's limit rises to full.
    adaptive : bool
        Whether service times lower the limit; without it only the announced
        slots count.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> limit = ConcurrencyLimit(clock, slots=20, warmup=0)
    >>> limit.current
    20
    >>> limit.on_shed(running=20)
    >>> limit.current
    18
    """

    def __init__(
        self, clock: Clock, slots: int, warmup: float = 0.0, adaptive: bool = True
    ) -> None:
        self._clock = clock
        self._adaptive = adaptive
        self._slots = slots
        self._limit = float(slots)
        self._warmup = warmup
        self._born = clock.now()
        self._bases: dict[str, float] = {}
        self._slowdown = 1.0
        self._seen = 0
        self._test: _LimitTest | None = None

    @property
    def current(self) -> int:
        """Requests that may run now; at least one."""
        return max(1, int(self._limit * self._warm_share()))

    @property
    def slowdown(self) -> float:
        """Recent service time as a multiple of its base."""
        return self._slowdown

    def set_slots(self, slots: int) -> None:
        """Take in the slots that the upstream announces."""
        if slots != self._slots:
            self._limit = min(max(1.0, self._limit * slots / self._slots), slots)
            self._slots = slots

    def restart_warmup(self) -> None:
        """Warm up anew: the upstream was replaced."""
        self._born = self._clock.now()

    def on_finish(
        self, operation: str, started: float, duration: float, binding: bool
    ) -> None:
        """Take in one run.

        Parameters
        ==========

        operation : str
            What ran.
        started : float
            When it started, in seconds of the clock.
        duration : float
            How long it ran, in seconds.
        binding : bool
            Whether the limit held anyone back during the run.
        """
        if not self._adaptive:
            return
        ratio = duration / max(_LEAST_BASE, self._base(operation, duration))
        self._slowdown += _WEIGHT * (ratio - self._slowdown)
        self._seen += 1
        if self._test is not None:
            self._run_test(started, ratio)
        elif self._slowdown > _SUSPECT and self._seen > _SAMPLES and self._limit > 1:
            self._test = _LimitTest(self._limit, self._clock.now())
        elif binding:
            self._limit = min(self._slots, self._limit + 1.0 / max(1.0, self._limit))

    def on_shed(self, running: int) -> None:
        """Take note that the upstream itself refused for load."""
        if self._adaptive:
            self._limit = max(1.0, min(self._limit, running) * 0.9)

    def _warm_share(self) -> float:
        if self._warmup <= 0:
            return 1.0
        age = self._clock.now() - self._born
        return min(1.0, 0.1 + 0.9 * age / self._warmup)

    def _base(self, operation: str, duration: float) -> float:
        duration = max(duration, 1e-6)
        base = self._bases.get(operation)
        if base is None:
            if len(self._bases) >= _MOST_OPERATIONS:
                self._bases.pop(next(iter(self._bases)))
            base = duration
        elif duration < _FAR_BELOW * base:
            base += _BASE_CATCH_UP * (duration - base)
        elif duration < base:
            base *= 1.0 - 3 * _BASE_STEP
        else:
            base *= 1.0 + _BASE_STEP
        self._bases[operation] = base
        return base

    def _run_test(self, started: float, ratio: float) -> None:
        test = self._test
        # Runs that began under the old limit tell nothing about the new one:
        # the first of them still wait behind the queue the old limit made.
        if started < test.since:
            return
        test.skip -= 1
        if test.skip >= 0:
            return
        test.total += ratio
        test.seen += 1
        if test.seen < _SAMPLES:
            return
        mean = test.total / test.seen
        if test.before is None:
            self._lower(test, mean)
        else:
            self._conclude(test, mean)

    def _lower(self, test: _LimitTest, before: float) -> None:
        test.before = before
        self._limit = max(1.0, self._limit * _TEST_FACTOR)
        test.since = self._clock.now()
        test.skip = int(self._limit)
        test.total, test.seen = 0.0, 0

    def _conclude(self, test: _LimitTest, after: float) -> None:
        self._test = None
        self._seen = 0
        self._slowdown = after
        if after > _CONFIRM * test.before:
            # Each run is slower by itself: fewer at a time would not help.
            self._limit = min(self._slots, test.old_limit)
            self._bases = {
                op: max(base, _LEAST_BASE) * after for op, base in self._bases.items()
            }
            self._slowdown = 1.0
