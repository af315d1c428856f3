"""Failure and slowness detection for an upstream, at the gate in front of it."""

from math import exp

from rattanfork_core.clock import Clock

#: Weight of the latest run in the moving failure rate, and time in which the rate
#: halves: an upstream that other nodes avoid gets no run that could show its recovery.
_FAILURE_SMOOTHING = 0.1
_FAILURE_HALF_LIFE_SECONDS = 4.0
#: Failure rate from which an upstream is impaired.  Healthy ones fail one run in
#: hundreds; two failures in a row stay below the limit.
_MAX_FAILURE_RATE = 0.2
#: Failure rate below which it counts as zero, so that it need not be updated.
_NEGLIGIBLE_RATE = 1e-6
#: Largest weight of one run in the mean duration of an operation, and seconds over
#: which the mean is taken, so that a slow upstream does not soon pass for normal.
_MEAN_MAX_WEIGHT = 0.05
_MEAN_WINDOW_SECONDS = 30.0
#: Completed runs after which the mean duration of an operation is used.
_MIN_RUNS = 8
#: Time constant in seconds of the sums of time spent and of completed runs.
_COMPARISON_WINDOW_SECONDS = 2.0
#: Runs of mean duration that are added to both sums, so that one long run alone does
#: not make an upstream count as slow.
_PRIOR_RUNS = 3.0
#: Multiple of the mean duration from which an upstream is slow.  Runs of a healthy one
#: end at random, so few may end within the window.
_SLOW_FACTOR = 3.0
#: Seconds for which an upstream that was slow counts as impaired.
_SLOW_HOLD_SECONDS = 3.0
#: Bound on memory.
_MAX_OPERATIONS = 256


class UpstreamHealth:
    """Detects from its runs that an upstream fails or has become slow.

    Explanation
    ===========

    A node of a large fleet sends each instance only occasional requests, so many
    requests would fail at many nodes before each had detected the fault.  The gate sees
    all runs of its upstream and detects it within a few runs.

    An upstream is slow in comparison with its own past, as instances of one service
    differ in speed without a fault.  The time spent by runs, in units of the mean
    duration of their operation, is compared with the number of completed runs.  Runs in
    progress therefore count before they end, which at an upstream that becomes slow is
    seconds late.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> health = UpstreamHealth(clock)
    >>> for key in range(6):
    ...     health.on_started(key, "read")
    ...     health.on_ended(key, failed=key > 2)
    >>> health.impaired
    True
    >>> clock.advance(4.0)
    >>> health.impaired
    False
    """

    __slots__ = (
        "_clock",
        "_completed",
        "_failure_rate",
        "_failure_rate_at",
        "_means",
        "_spending_rate",
        "_running",
        "_slow_until",
        "_spent",
        "_updated_at",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failure_rate = 0.0
        self._failure_rate_at = clock.now()
        #: Operation, start and mean duration of the operation, of each run in progress.
        self._running: dict[int, tuple[str, float, float]] = {}
        #: Mean duration, time of its last update and number of runs, by operation.
        self._means: dict[str, tuple[float, float, int]] = {}
        #: Mean durations that the runs in progress spend per second.
        self._spending_rate = 0.0
        #: Decaying sums of the mean durations spent and of the completed runs.
        self._spent = 0.0
        self._completed = 0.0
        self._updated_at = clock.now()
        self._slow_until = 0.0

    @property
    def impaired(self) -> bool:
        """Whether callers should prefer other instances."""
        self._update_sums()
        return self._current_failure_rate() > _MAX_FAILURE_RATE or self._is_slow()

    def on_started(self, key: int, operation: str) -> None:
        """Record that a run has been sent to the upstream."""
        self._update_sums()
        mean, _, runs = self._means.get(operation, (0.0, 0.0, 0))
        if runs < _MIN_RUNS:
            mean = 0.0
        if mean:
            self._spending_rate += 1.0 / mean
        self._running[key] = (operation, self._updated_at, mean)

    def on_ended(self, key: int, failed: bool, counts: bool = True) -> None:
        """Record that a run has ended.

        Parameters
        ==========

        key : int
            The run.
        failed : bool
            Whether it failed through a fault of the upstream.
        counts : bool
            Whether its outcome shows the upstream's health; that of a run cancelled by
            its caller does not.
        """
        run = self._running.pop(key, None)
        if run is None:
            return
        self._update_sums()
        operation, started_at, mean = run
        if mean:
            self._spending_rate -= 1.0 / mean
        if not counts:
            return
        if mean:
            self._completed += 1.0
        if failed or self._failure_rate:
            self._update_failure_rate(failed)
        if not failed and not self._is_slow():
            self._update_mean(operation, self._updated_at - started_at)

    def _update_failure_rate(self, failed: bool) -> None:
        rate = self._current_failure_rate()
        rate += _FAILURE_SMOOTHING * ((1.0 if failed else 0.0) - rate)
        self._failure_rate = rate if rate > _NEGLIGIBLE_RATE else 0.0
        self._failure_rate_at = self._updated_at

    def _current_failure_rate(self) -> float:
        elapsed = self._updated_at - self._failure_rate_at
        return self._failure_rate * 0.5 ** (elapsed / _FAILURE_HALF_LIFE_SECONDS)

    def _update_mean(self, operation: str, duration: float) -> None:
        now = self._updated_at
        mean, mean_at, runs = self._means.get(operation, (duration, now, 0))
        if not runs and len(self._means) >= _MAX_OPERATIONS:
            self._means.clear()
        weight = min(_MEAN_MAX_WEIGHT, (now - mean_at) / _MEAN_WINDOW_SECONDS)
        if runs < _MIN_RUNS:
            weight = 1.0 / (runs + 1)
        mean += weight * (duration - mean)
        self._means[operation] = (max(mean, 1e-4), now, min(runs + 1, _MIN_RUNS))

    def _is_slow(self) -> bool:
        if self._spent + _PRIOR_RUNS > _SLOW_FACTOR * (self._completed + _PRIOR_RUNS):
            self._slow_until = self._updated_at + _SLOW_HOLD_SECONDS
        return self._updated_at < self._slow_until

    def _update_sums(self) -> None:
        """Decay the sums and add the time spent since the last update."""
        now = self._clock.now()
        elapsed, self._updated_at = now - self._updated_at, now
        if elapsed <= 0:
            return
        decay = exp(-elapsed / _COMPARISON_WINDOW_SECONDS)
        # Time is spent at a constant rate since the last update, and decays meanwhile.
        self._spent = (
            self._spent * decay
            + self._spending_rate * _COMPARISON_WINDOW_SECONDS * (1.0 - decay)
        )
        self._completed *= decay
        if not self._running:
            self._spending_rate = 0.0
