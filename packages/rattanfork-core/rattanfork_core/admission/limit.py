"""Adaptive concurrency limit: how many requests may run at the upstream at once."""

from dataclasses import dataclass

from rattanfork_core.clock import Clock

#: Service time, as a multiple of the baseline, above which a queue inside the
#: upstream is suspected.
_SUSPECT_SLOWDOWN = 2.5
#: Factor by which the limit is lowered for a test.
_TEST_FACTOR = 0.7
#: A test confirms queueing if the slowdown falls to this fraction or less.
_CONFIRM_RATIO = 0.85
#: Runs that are measured before and after the limit is lowered in a test.
_TEST_SAMPLES = 30
#: Weight of a new sample in the moving average of the slowdown.
_SAMPLE_WEIGHT = 0.1
#: Shortest baseline.  Event loop scheduling alone makes shorter runs vary by more
#: than their own length, which callers do not notice.
_MIN_BASELINE_SECONDS = 0.04
#: Relative step by which the baseline follows the lower quartile of the service
#: times.  Small enough that a test ends long before slow runs become the baseline.
_BASELINE_STEP = 0.0001
#: Runs shorter than this fraction of the baseline pull it down quickly, by this weight.
_FAR_BELOW = 0.5
_FAR_BELOW_WEIGHT = 0.1
#: Bounds the memory: operation names are taken from URLs that clients choose.
_MAX_OPERATIONS = 256


@dataclass(slots=True)
class _LimitTest:
    """A test in progress: runs are measured at the old limit, then at a lower one."""

    old_limit: float
    #: Start of the current measurement; runs started before it are not counted.
    since: float
    #: Mean slowdown at the old limit; None until it is measured.
    before: float | None = None
    #: Runs to skip before the measurement at the lower limit.
    skip: int = 0
    #: Sum and number of the slowdowns measured.
    total: float = 0.0
    seen: int = 0


class ConcurrencyLimit:
    """A concurrency limit that adapts to the measured service times.

    Explanation
    ===========

    The announced slots are an upper bound that may be wrong, and health and load
    endpoints may lag or be wrong as well, so the limit follows service times.
    Service times well above their baseline mean either that the upstream queues
    internally (the limit is too high) or that each run has become slower (a service
    that it calls is slow); in the second case a lower limit would only lose capacity.

    So the limit is lowered for a test.  With an internal queue, service time is
    limit divided by throughput and falls with the limit; otherwise it stays the same.
    The lower limit is kept only in the first case.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    slots : int
        Slots that the upstream announces; the limit never exceeds them.
    warmup : float
        Seconds over which the limit of a cold instance rises to its full value.
    adaptive : bool
        Whether service times change the limit; otherwise it equals the announced
        slots.

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
        self._warmup_started = clock.now()
        self._baselines: dict[str, float] = {}
        self._slowdown = 1.0
        self._samples_since_test = 0
        self._test: _LimitTest | None = None

    @property
    def current(self) -> int:
        """Requests that may run at once; at least one."""
        if self._warmup <= 0:
            return max(1, int(self._limit))
        return max(1, int(self._limit * self._warmup_fraction()))

    @property
    def slowdown(self) -> float:
        """Moving average of service time as a multiple of its baseline."""
        return self._slowdown

    def set_slots(self, slots: int) -> None:
        """Set the announced slots, and scale the limit with them."""
        if slots != self._slots:
            self._limit = min(max(1.0, self._limit * slots / self._slots), slots)
            self._slots = slots

    def restart_warmup(self) -> None:
        """Start the warm-up again, for an upstream that was replaced."""
        self._warmup_started = self._clock.now()

    def on_finish(
        self, operation: str, started: float, duration: float, limited: bool
    ) -> None:
        """Update the limit with a completed run.

        Parameters
        ==========

        operation : str
            Name of the operation.
        started : float
            When it started, in seconds of the clock.
        duration : float
            How long it ran, in seconds.
        limited : bool
            Whether requests were waiting for a slot when the run completed.
        """
        if not self._adaptive:
            return
        ratio = duration / max(
            _MIN_BASELINE_SECONDS, self._update_baseline(operation, duration)
        )
        self._slowdown += _SAMPLE_WEIGHT * (ratio - self._slowdown)
        self._samples_since_test += 1
        if self._test is not None:
            self._add_test_sample(started, ratio)
        elif (
            self._slowdown > _SUSPECT_SLOWDOWN
            and self._samples_since_test > _TEST_SAMPLES
            and self._limit > 1
        ):
            self._test = _LimitTest(self._limit, self._clock.now())
        elif limited:
            self._limit = min(self._slots, self._limit + 1.0 / max(1.0, self._limit))

    def on_shed(self, running: int) -> None:
        """Lower the limit, as the upstream itself refused a request for load."""
        if self._adaptive:
            self._limit = max(1.0, min(self._limit, running) * 0.9)

    def _warmup_fraction(self) -> float:
        age = self._clock.now() - self._warmup_started
        return min(1.0, 0.1 + 0.9 * age / self._warmup)

    def _update_baseline(self, operation: str, duration: float) -> float:
        duration = max(duration, 1e-6)
        baseline = self._baselines.get(operation)
        if baseline is None:
            if len(self._baselines) >= _MAX_OPERATIONS:
                self._baselines.pop(next(iter(self._baselines)))
            baseline = duration
        elif duration < _FAR_BELOW * baseline:
            baseline += _FAR_BELOW_WEIGHT * (duration - baseline)
        elif duration < baseline:
            baseline *= 1.0 - 3 * _BASELINE_STEP
        else:
            baseline *= 1.0 + _BASELINE_STEP
        self._baselines[operation] = baseline
        return baseline

    def _add_test_sample(self, started: float, ratio: float) -> None:
        test = self._test
        # Runs that started under the old limit are no samples of the new one, nor
        # are the first ones after it: they wait in the queue that the old one left.
        if started < test.since:
            return
        test.skip -= 1
        if test.skip >= 0:
            return
        test.total += ratio
        test.seen += 1
        if test.seen < _TEST_SAMPLES:
            return
        mean = test.total / test.seen
        if test.before is None:
            self._lower_limit(test, mean)
        else:
            self._end_test(test, mean)

    def _lower_limit(self, test: _LimitTest, before: float) -> None:
        test.before = before
        self._limit = max(1.0, self._limit * _TEST_FACTOR)
        test.since = self._clock.now()
        test.skip = int(self._limit)
        test.total, test.seen = 0.0, 0

    def _end_test(self, test: _LimitTest, after: float) -> None:
        self._test = None
        self._samples_since_test = 0
        self._slowdown = after
        if after > _CONFIRM_RATIO * test.before:
            # Each run has become slower: a lower limit would not help.
            self._limit = min(self._slots, test.old_limit)
            self._baselines = {
                op: max(baseline, _MIN_BASELINE_SECONDS) * after
                for op, baseline in self._baselines.items()
            }
            self._slowdown = 1.0
