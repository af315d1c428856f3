"""Load, latency and failure rate of an instance, as observed by one node."""

from dataclasses import dataclass, field
from typing import NamedTuple

#: Weight of the latest call in the moving latency.
_LATENCY_SMOOTHING = 0.1
#: Weight of the latest call in the moving failure rate.  It is larger, so that two
#: consecutive failures make an instance a bad choice.
_FAILURE_SMOOTHING = 0.3
#: Failure rate above which an instance counts as mostly failing.
_MOSTLY_FAILING = 0.5
#: Latency to expect, as a multiple of the mean age of the calls in flight.  The mean
#: age is half the latency if all calls take equally long, and up to the whole latency
#: if durations are very unequal; the factor lies between 2 and 1, so that a healthy
#: instance appears about as fast as it is.
_LATENCY_PER_AGE = 1.5
#: Bound on the operations whose latencies are kept; there are as many as routes.
_MAX_OPERATIONS = 1000


class _Latency(NamedTuple):
    seconds: float
    updated_at: float


@dataclass(slots=True)
class InstanceState:
    """Load and health of one instance as observed by this node.

    Parameters
    ==========

    name : str
        Name of the instance.
    data_centre : str
        Data centre that it runs in.
    slots : int
        Number of requests that it runs at once, as announced.
    known_since : float
        When this node first learned of it, in seconds of the clock.
    in_flight : int
        Calls from this node that have not ended.
    latency : float
        Moving latency of successful calls in seconds; 0 while unknown.
    failure_rate : float
        Moving share of calls that failed.
    leaving : bool
        Whether it is draining and accepts no new calls.
    suspect : bool
        Whether the membership suspects it to be dead.
    busy : int
        Requests from all nodes that wait or run there, as of its last reply.
    impaired_until : float
        Until when its gate reports that its upstream fails or has become slow.
    sent_at_sum : float
        Sum of the times at which the calls in flight were sent.
    """

    name: str
    data_centre: str
    slots: int = 1
    known_since: float = 0.0
    in_flight: int = 0
    latency: float = 0.0
    failure_rate: float = 0.0
    leaving: bool = False
    suspect: bool = False
    busy: int = 0
    impaired_until: float = 0.0
    sent_at_sum: float = 0.0
    _latencies: dict[str, _Latency] = field(default_factory=dict)

    @property
    def load(self) -> float:
        """Requests at the instance per slot, as of its last reply.

        If this node has more calls in flight there, they count instead: they were sent
        after the last reply.
        """
        return max(self.busy, self.in_flight) / max(1, self.slots)

    @property
    def mostly_failing(self) -> bool:
        """Whether it fails so often that its load and thresholds are meaningless."""
        return self.failure_rate > _MOSTLY_FAILING

    def expected_latency(self, now: float) -> float:
        """Return the latency to expect in seconds; 0 while unknown.

        The moving latency of an instance that becomes slow rises only with its first
        replies, which are late: one that becomes twelve times slower would get its full
        share of calls until then.  The mean age of the calls in flight rises at once.
        In normal operation it is between half the latency and the whole.
        """
        if not self.in_flight or not self.latency:
            return self.latency
        mean_age = now - self.sent_at_sum / self.in_flight
        return max(self.latency, _LATENCY_PER_AGE * mean_age)

    def expected_operation_latency(
        self, operation: str, now: float, max_age: float
    ) -> float:
        """Return the latency of one operation to expect, in seconds.

        It is 0 if the last successful call of the operation ended more than ``max_age``
        seconds ago, or if there is none.
        """
        known = self._latencies.get(operation)
        if known is None or now - known.updated_at > max_age:
            return 0.0
        if not self.latency:
            return known.seconds
        return known.seconds * self.expected_latency(now) / self.latency

    def on_sent(self, now: float) -> None:
        """Record a call sent at a time in seconds of the clock."""
        self.in_flight += 1
        self.sent_at_sum += now

    def on_inconclusive(self, sent_at: float) -> None:
        """Record the end of a call that is no evidence of the instance's health."""
        self.in_flight = max(0, self.in_flight - 1)
        self.sent_at_sum = self.sent_at_sum - sent_at if self.in_flight else 0.0

    def on_done(
        self, now: float, sent_at: float, failed: bool, operation: str = ""
    ) -> None:
        """Record the outcome of a call that was sent at a time in seconds."""
        self.on_inconclusive(sent_at)
        duration = now - sent_at
        self.failure_rate += _FAILURE_SMOOTHING * (
            (1.0 if failed else 0.0) - self.failure_rate
        )
        if not failed:
            self._update_operation(operation, duration, now)
            if self.latency:
                self.latency += _LATENCY_SMOOTHING * (duration - self.latency)
            else:
                self.latency = duration

    def _update_operation(self, operation: str, duration: float, now: float) -> None:
        known = self._latencies.get(operation)
        if known is None:
            if len(self._latencies) >= _MAX_OPERATIONS:
                self._latencies.clear()
            seconds = duration
        else:
            seconds = known.seconds + _LATENCY_SMOOTHING * (duration - known.seconds)
        self._latencies[operation] = _Latency(seconds, now)
