"""What a node knows of an instance it sends to."""

from dataclasses import dataclass, field
from typing import NamedTuple

_WEIGHT = 0.1
#: Failures count for more: two in a row make an instance a bad choice.
_FAILURE_WEIGHT = 0.3
#: Recent share of failures from which an instance counts as mostly failing.
_MOSTLY_FAILING = 0.5
#: Latency to expect for each second that calls in flight are old in the mean.
#: Calls of one length are half as old as they last, and those of very unequal
#: lengths as old: in between, a sound instance looks about as fast as it is.
_AGE_FACTOR = 1.5
#: Operations whose latencies are kept; there are as many as routes.
_MOST_OPERATIONS = 1000


class _Latency(NamedTuple):
    seconds: float
    heard: float


@dataclass(slots=True)
class InstanceState:
    """Load and health of one instance as seen from this node.

    Parameters
    ==========

    name : str
        The instance.
    data_centre : str
        Where it runs.
    slots : int
        Its announced slots.
    known_since : float
        When this node first heard of it, in seconds of the clock.
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
    #: Until when its gate says that its upstream fails or has become slow.
    impaired_until: float = 0.0
    #: Sum of the times at which the calls in flight were sent.
    sent_at_sum: float = 0.0
    _latencies: dict[str, _Latency] = field(default_factory=dict)

    @property
    def load(self) -> float:
        """Requests at the instance for each of its slots, as last heard.

        What this node has in flight there counts if it is more: it was sent
        after the last reply.
        """
        return max(self.busy, self.in_flight) / max(1, self.slots)

    @property
    def mostly_failing(self) -> bool:
        """Whether it fails so often that its load and thresholds say nothing."""
        return self.failure_rate > _MOSTLY_FAILING

    def expected_latency(self, now: float) -> float:
        """Return the latency to expect in seconds; 0 while unknown.

        An instance that turns slow tells so with its first answers, which are
        late: one that takes twelve times as long gets its full share for all
        that time.  The calls in flight grow old at once.  While all is well
        their mean age is half the latency to all of it.
        """
        if not self.in_flight or not self.latency:
            return self.latency
        age = now - self.sent_at_sum / self.in_flight
        return max(self.latency, _AGE_FACTOR * age)

    def expected_operation_latency(
        self, operation: str, now: float, believed_for: float
    ) -> float:
        """Return the latency of one operation to expect at a time, in seconds.

        It is 0 if no answer was heard for longer than it is believed.
        """
        known = self._latencies.get(operation)
        if known is None or now - known.heard > believed_for:
            return 0.0
        if not self.latency:
            return known.seconds
        return known.seconds * self.expected_latency(now) / self.latency

    def on_sent(self, now: float) -> None:
        """Count a call sent at a time in seconds."""
        self.in_flight += 1
        self.sent_at_sum += now

    def on_inconclusive(self, sent_at: float) -> None:
        """Take note that a call ended without telling of the instance."""
        self.in_flight = max(0, self.in_flight - 1)
        self.sent_at_sum = self.sent_at_sum - sent_at if self.in_flight else 0.0

    def on_done(
        self, now: float, sent_at: float, failed: bool, operation: str = ""
    ) -> None:
        """Take in how a call ended that was sent at a time in seconds."""
        self.on_inconclusive(sent_at)
        duration = now - sent_at
        self.failure_rate += _FAILURE_WEIGHT * (
            (1.0 if failed else 0.0) - self.failure_rate
        )
        if not failed:
            self._learn(operation, duration, now)
            if self.latency:
                self.latency += _WEIGHT * (duration - self.latency)
            else:
                self.latency = duration

    def _learn(self, operation: str, duration: float, now: float) -> None:
        known = self._latencies.get(operation)
        if known is None:
            if len(self._latencies) >= _MOST_OPERATIONS:
                self._latencies.clear()
            seconds = duration
        else:
            seconds = known.seconds + _WEIGHT * (duration - known.seconds)
        self._latencies[operation] = _Latency(seconds, now)
