"""Route path: what a draining node still accepts and passes on."""

from math import inf

from rattanfork_core.clock import Clock
from rattanfork_core.routes import Route
from rattanfork_core.routing import InstancePicker

#: Multiple of the slowest instance's mean latency within which all but a few in a
#: thousand requests end, if their durations are similar.
_LATENCY_FACTOR = 4.0
#: The same for an attempt of a request that was accepted: its upstream stops by itself
#: at the end, so that a slow one is not cut, and a refusal fails the run that calls.
_ATTEMPT_LATENCY_FACTOR = 1.5
#: Least time in seconds that an attempt is expected to take, however fast its instances
#: are: links, queues and a busy machine add to it.
_MIN_EXPECTED_S = 0.2


class DrainPolicy:
    """Decides which requests a draining node still accepts and passes on.

    Explanation
    ===========

    A request that is cut off when the node exits may have run, and one that is
    not idempotent can't be retried then.  So a request is refused if its timeout
    is longer than the time that is left.

    Callers keep sending until they notice that the node is draining, and retry a
    refused request at the same node.  If the timeout alone decided, a route with
    a timeout as long as the grace period would be refused throughout, although
    its requests take a fraction of a second: with three instances removed, that
    failed 157 of 32,700 requests.  Until ``serves_until``, a request is therefore
    also accepted if a multiple of the mean latency fits into the time left; with
    this rule none of those requests failed.

    A call of a run is accepted for longer, as the run fails without it.  But an
    attempt that may be cut is worse than a refusal that proves that nothing ran.  So
    from ``checks_from`` on, an attempt is sent only if its deadline, or a multiple of
    the mean latency, fits into the time left.  The upstream is told a deadline by which
    it stops by itself, with time for its response.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    ends_at : float
        Time at which requests in flight are given up, in seconds of the clock.
    serves_until : float
        Time until which callers may still send, in seconds of the clock.
    checks_from : float, optional
        Time from which each attempt is checked, in seconds of the clock.
    response_time : float, optional
        Seconds between the end of a run and ``ends_at``, for its response.
    """

    def __init__(
        self,
        clock: Clock,
        ends_at: float,
        serves_until: float,
        checks_from: float = -inf,
        response_time: float = 0.0,
    ) -> None:
        self._clock = clock
        self._ends_at = ends_at
        self._serves_until = serves_until
        self._checks_from = checks_from
        self._runs_end_at = ends_at - response_time

    @property
    def runs_end_at(self) -> float:
        """Time by which runs end whose responses are still passed on."""
        return self._runs_end_at

    def accepts(self, route: Route, picker: InstancePicker) -> bool:
        """Return whether a caller's request for a route is accepted."""
        now = self._clock.now()
        left = self._ends_at - now
        if route.timeout <= left:
            return True
        slowest = picker.slowest_latency
        return now <= self._serves_until and 0.0 < _LATENCY_FACTOR * slowest <= left

    def may_send(self, deadline: float, picker: InstancePicker) -> bool:
        """Return whether an attempt at a request with a deadline may be sent."""
        now = self._clock.now()
        if now < self._checks_from or deadline <= self._ends_at:
            return True
        expected = _ATTEMPT_LATENCY_FACTOR * picker.slowest_latency
        expected = max(_MIN_EXPECTED_S, expected)
        return now + expected <= self._ends_at

    def run_deadline(self, deadline: float) -> float:
        """Return the deadline of the run of a request with a deadline."""
        if self._clock.now() < self._checks_from:
            return deadline
        return min(deadline, self._runs_end_at)
