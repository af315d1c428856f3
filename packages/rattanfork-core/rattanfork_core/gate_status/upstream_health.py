"""Whether an upstream is impaired, as the gate in front of it sees."""

from math import exp

from rattanfork_core.clock import Clock

#: Weight of one run in the share that failed, and seconds in which it halves: who
#: is led round gets no run that could tell of its recovery.
_FAILURE_WEIGHT = 0.1
_FAILURE_HALF_LIFE = 4.0
#: Share of failed runs from which an upstream is impaired.  Sound ones fail one run
#: in hundreds; two failures in a row stay below it.
_FAILING = 0.2
#: Most weight of one run in an operation's usual time, and seconds over which it is
#: averaged: an upstream that turns slow is not usual for a while.
_USUAL_WEIGHT = 0.05
_USUAL_MEMORY = 30.0
#: Runs that have to end before an operation's usual time is known.
_KNOWN_AFTER = 8
#: Seconds over which time spent and runs ended are compared.
_COMPARED = 2.0
#: Runs that are taken to have ended as usual beside those seen, so that one long
#: run alone says nothing.
_PRIOR = 3.0
#: Multiple of the usual time from which an upstream is slow.  Ends of sound runs
#: come by chance, and so seldom for a time.
_SLOW = 3.0
#: Seconds for which an upstream that was slow counts as impaired.
_SLOW_FOR = 3.0
_MOST_OPERATIONS = 256


class UpstreamHealth:
    """Tells from its runs that an upstream fails or has become slow.

    Explanation
    ===========

    A node of a large fleet sends an instance a request now and then, so it takes
    many failed requests at many nodes until each of them knows.  The gate sees all
    runs of its upstream and knows within a few of them.

    Slow is meant against the upstream's own past: instances of one service differ in
    speed without anything being wrong.  The time that runs have spent, in units of
    their usual time, is compared with how many have ended; so runs under way count
    before they end, whose ends come seconds late at an upstream that turns slow.

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
        "_ended",
        "_failures",
        "_failures_at",
        "_pace",
        "_running",
        "_slow_until",
        "_spent",
        "_then",
        "_usual",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0.0
        self._failures_at = clock.now()
        #: Operation, start and usual time of each run under way.
        self._running: dict[int, tuple[str, float, float]] = {}
        #: Usual time of an operation, when last learned, and from how many runs.
        self._usual: dict[str, tuple[float, float, int]] = {}
        #: Usual times that the runs under way spend in a second.
        self._pace = 0.0
        #: Usual times spent, and runs ended, lately.
        self._spent = 0.0
        self._ended = 0.0
        self._then = clock.now()
        self._slow_until = 0.0

    @property
    def impaired(self) -> bool:
        """Whether callers should rather ask other instances."""
        return self._failing_now() > _FAILING or self._slow_now()

    def on_started(self, key: int, operation: str) -> None:
        """Take note that a run has been handed over."""
        self._move()
        usual, _, seen = self._usual.get(operation, (0.0, 0.0, 0))
        if seen < _KNOWN_AFTER:
            usual = 0.0
        if usual:
            self._pace += 1.0 / usual
        self._running[key] = (operation, self._clock.now(), usual)

    def on_ended(self, key: int, failed: bool, counts: bool = True) -> None:
        """Take note that a run has ended.

        Parameters
        ==========

        key : int
            The run.
        failed : bool
            Whether it came to nothing by the upstream's own fault.
        counts : bool
            Whether its end says anything: one that its caller has stopped does not.
        """
        run = self._running.pop(key, None)
        if run is None:
            return
        self._move()
        operation, begun, usual = run
        if usual:
            self._pace -= 1.0 / usual
        if not counts:
            return
        if usual:
            self._ended += 1.0
        self._failures = self._failing_now()
        self._failures += _FAILURE_WEIGHT * ((1.0 if failed else 0.0) - self._failures)
        self._failures_at = self._then
        if not failed and not self._slow_now():
            self._learn(operation, self._then - begun)

    def _failing_now(self) -> float:
        passed = self._clock.now() - self._failures_at
        return self._failures * 0.5 ** (passed / _FAILURE_HALF_LIFE)

    def _learn(self, operation: str, seconds: float) -> None:
        now = self._then
        usual, learned, seen = self._usual.get(operation, (seconds, now, 0))
        if not seen and len(self._usual) >= _MOST_OPERATIONS:
            self._usual.clear()
        weight = min(_USUAL_WEIGHT, (now - learned) / _USUAL_MEMORY)
        if seen < _KNOWN_AFTER:
            weight = 1.0 / (seen + 1)
        usual += weight * (seconds - usual)
        self._usual[operation] = (max(usual, 1e-4), now, min(seen + 1, _KNOWN_AFTER))

    def _slow_now(self) -> bool:
        self._move()
        if self._spent + _PRIOR > _SLOW * (self._ended + _PRIOR):
            self._slow_until = self._then + _SLOW_FOR
        return self._then < self._slow_until

    def _move(self) -> None:
        now = self._clock.now()
        passed, self._then = now - self._then, now
        if passed <= 0:
            return
        kept = exp(-passed / _COMPARED)
        # What is spent evenly over the time that has passed, fading as it goes.
        self._spent = self._spent * kept + self._pace * _COMPARED * (1.0 - kept)
        self._ended *= kept
        if not self._running:
            self._pace = 0.0
