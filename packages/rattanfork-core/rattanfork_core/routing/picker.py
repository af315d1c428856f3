"""Load balancer over the instances of one service."""

from collections.abc import Iterable
from math import inf
from random import Random

from rattanfork_core.clock import Clock
from rattanfork_core.routing.instance import InstanceState
from rattanfork_core.routing.subset import choose_subset

#: Latency in seconds assumed at most of an instance without a reply so far.
_UNKNOWN_LATENCY_SECONDS = 0.01
#: Factor on the score of an instance in another data centre.
_REMOTE_FACTOR = 1.5
#: Lower bound of the divisor that raises the score of a new instance.
_MIN_WARMUP_SHARE = 0.1
#: Factor on the score of an instance whose upstream is impaired.  It applies only
#: if the others have no spare capacity; until then such an instance is excluded.
_IMPAIRED_FACTOR = 4.0
#: Latency, as a multiple of the fastest instance's, above which an instance is not
#: preferred for being local.  Healthy instances of one service differ by up to 2.5.
_MAX_LOCAL_SLOWDOWN = 3.5
#: Failure rate from which an instance is preferred neither for being local nor for
#: being fast.  After a single failure the rate is below it again after four successes.
_MAX_PREFERRED_FAILURE_RATE = 0.08
#: Mean latencies within which nearly all runs of an operation end: all but one in 26 if
#: durations are log-normal with a sigma of 0.8.  With a factor of 4, more calls went to
#: other data centres, whose traffic cost more than the avoided timeouts.
_TIMEOUT_MEANS = 3.0
#: Seconds for which the latency of an operation at an instance is used.  Afterwards
#: each node sends calls to a slow instance again.
_LATENCY_MAX_AGE_SECONDS = 5.0
#: Load below which an instance has spare capacity for calls diverted from others.
_MAX_LOAD = 0.7
#: Latency, as a multiple of the fastest instance's, up to which an instance counts as
#: equally fast.
_SIMILAR_LATENCY = 1.5


class InstancePicker:
    """Picks an instance of a service for each call.

    Explanation
    ===========

    Of two instances drawn at random the one with the lower score is picked (power of
    two choices).  The score is the number of calls in flight per slot times the
    latency, so a slow instance gets fewer calls without health checks.  Failures raise
    the score, and so does another data centre.  The latter is a factor, so instances of
    the own data centre are preferred only until they are the worse choice.  The score
    of a new instance is raised during its warm-up.

    Parameters
    ==========

    node : str
        Name of this node; determines its subset of the instances.
    data_centre : str
        Data centre of this node.
    clock : Clock
        Source of the current time.
    random : Random
        Source of random draws.
    subset_size : int
        Maximum number of instances that this node sends to.
    warmup : float
        Seconds until a new instance gets its full share of calls.
    local_load_limit : float
        Load below which instances of the own data centre are picked without a
        comparison with those of others; 0 always compares all.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> picker = InstancePicker("n1", "dc1", ManualClock(9), Random(1))
    >>> picker.update([InstanceState("a", "dc1"), InstanceState("b", "dc2")])
    >>> picker.pick(frozenset())
    'a'
    >>> picker.pick(frozenset({"a"}))
    'b'
    """

    def __init__(
        self,
        node: str,
        data_centre: str,
        clock: Clock,
        random: Random,
        subset_size: int = 16,
        warmup: float = 5.0,
        local_load_limit: float = 0.0,
    ) -> None:
        self._node = node
        self._data_centre = data_centre
        self._clock = clock
        self._random = random
        self._subset_size = subset_size
        self._warmup = warmup
        self._local_load_limit = local_load_limit
        self._states: dict[str, InstanceState] = {}
        self._subset: list[InstanceState] = []

    @property
    def states(self) -> dict[str, InstanceState]:
        """All known instances by name."""
        return self._states

    @property
    def subset(self) -> list[InstanceState]:
        """The instances that this node sends to."""
        return self._subset

    @property
    def slowest_latency(self) -> float:
        """Latency of the slowest instance in seconds; 0 while unknown."""
        return max((state.latency for state in self._subset), default=0.0)

    @property
    def fastest_latency(self) -> float:
        """Latency of the fastest instance in seconds; 0 while unknown."""
        known = [state.latency for state in self._subset if state.latency]
        return min(known, default=0.0)

    def update(self, instances: Iterable[InstanceState]) -> None:
        """Replace the instances by those that are alive, and keep their statistics."""
        states: dict[str, InstanceState] = {}
        for new in instances:
            known = self._states.get(new.name)
            if known is not None and known.known_since == new.known_since:
                known.leaving, known.suspect = new.leaving, new.suspect
                known.slots = new.slots
                states[new.name] = known
            else:
                states[new.name] = new
        self._states = states
        accepting = [s.name for s in states.values() if not s.leaving]
        names = choose_subset(self._node, accepting, self._subset_size)
        self._subset = [states[name] for name in names]

    def pick(
        self, excluded: frozenset[str], operation: str = "", timeout: float = inf
    ) -> str | None:
        """Return the name of an instance, or None if all are excluded.

        Parameters
        ==========

        excluded : frozenset of str
            Instances that must not be picked.
        operation : str
            Operation that is called, if latencies are recorded by operation.
        timeout : float
            Seconds after which the caller abandons the call.
        """
        candidates = self._subset
        if excluded:
            candidates = [s for s in candidates if s.name not in excluded]
        if len(candidates) < 2:
            # All further conditions are preferences, which a single instance need not
            # meet.
            return candidates[0].name if candidates else None
        now = self._clock.now()
        healthy = [s for s in candidates if not s.suspect]
        # If all are suspect, the fault is more likely this node or its network.
        candidates = healthy or candidates
        candidates = self._unimpaired(candidates, now) or candidates
        if timeout < inf:
            candidates = self._fast(candidates, operation, timeout, now)
        if self._local_load_limit:
            candidates = self._local(candidates, now) or candidates
        return self._pick_two(candidates, now).name

    def _unimpaired(
        self, candidates: list[InstanceState], now: float
    ) -> list[InstanceState]:
        """Return the unimpaired instances with spare capacity.

        If there are none, the caller considers all candidates: impaired instances are
        avoided only while others have spare capacity.  Avoiding them always would move
        their load to the others, and in a service near its capacity all would shed.
        """
        for state in candidates:
            if state.impaired_until > now:
                break
        else:
            return candidates
        return [s for s in candidates if s.impaired_until <= now and s.load < _MAX_LOAD]

    def _fast(
        self,
        candidates: list[InstanceState],
        operation: str,
        timeout: float,
        now: float,
    ) -> list[InstanceState]:
        """Return the instances at which a call hardly ever times out.

        If the timeout is a few times the mean latency, several times as many calls
        time out at the slower instances of a service as at the faster ones, while the
        faster ones have spare capacity.  With runs of very unequal duration it is one
        in 35 at an instance 0.6 times as fast as the mean, and one in 630 at one 1.4
        times as fast.

        Only instances known to be slow are excluded, and only until their latency is
        too old.  They are not probed before: where a node makes few calls, most of its
        calls would be probes.
        """
        max_mean = timeout / _TIMEOUT_MEANS
        latencies = [
            s.expected_operation_latency(operation, now, _LATENCY_MAX_AGE_SECONDS)
            for s in candidates
        ]
        if max(latencies) <= max_mean:
            return candidates
        preferred = [
            (s, latency)
            for s, latency in zip(candidates, latencies, strict=True)
            if s.load < _MAX_LOAD and s.failure_rate < _MAX_PREFERRED_FAILURE_RATE
        ]
        fastest = min((latency for _, latency in preferred), default=0.0)
        limit = max(max_mean, _SIMILAR_LATENCY * fastest)
        return [s for s, latency in preferred if latency <= limit] or candidates

    def _local(
        self, candidates: list[InstanceState], now: float
    ) -> list[InstanceState]:
        """Return the healthy local instances with spare capacity.

        A call to another data centre costs traffic and latency, and an instance with
        free slots is no faster for being less loaded.  If no local instance qualifies,
        all are compared; one that is much slower than the others, fails or is in its
        warm-up does not qualify.
        """
        fastest = min([s.latency for s in candidates if s.latency], default=0.0)
        max_latency = _MAX_LOCAL_SLOWDOWN * fastest
        return [
            s
            for s in candidates
            if s.data_centre == self._data_centre
            and s.load < self._local_load_limit
            and s.failure_rate < _MAX_PREFERRED_FAILURE_RATE
            and s.impaired_until <= now
            and (not max_latency or s.expected_latency(now) <= max_latency)
            and now - s.known_since >= self._warmup
        ]

    def instances_outside(self, data_centre: str) -> frozenset[str]:
        """Return the instances that are not in a data centre."""
        return frozenset(s.name for s in self._subset if s.data_centre != data_centre)

    def pick_weighted(self, count: int) -> list[str]:
        """Return instances for calls to be made later, drawn in proportion to slots.

        The calls in flight now do not predict the load then, and idempotency keys
        issued together must not all be assigned to the instance that is idle now.
        """
        healthy = [s for s in self._subset if not s.suspect] or self._subset
        if not healthy:
            return []
        weights = [max(1, state.slots) for state in healthy]
        chosen = self._random.choices(healthy, weights, k=count)
        return [state.name for state in chosen]

    def _pick_two(self, candidates: list[InstanceState], now: float) -> InstanceState:
        count = len(candidates)
        if count == 1:
            return candidates[0]
        first = candidates[int(self._random.random() * count)]
        second = candidates[int(self._random.random() * (count - 1))]
        if second is first:
            second = candidates[-1]
        if self._score(first, now) <= self._score(second, now):
            return first
        return second

    def _latency_to_assume(self) -> float:
        """Return the latency to assume of an instance without a reply.

        It is at most the fastest known one.  Otherwise an instance beside faster ones
        would never be tried while there are few requests.
        """
        return min(self.fastest_latency or inf, _UNKNOWN_LATENCY_SECONDS)

    def _score(self, state: InstanceState, now: float) -> float:
        latency = state.expected_latency(now) or self._latency_to_assume()
        score = (state.in_flight + 1) * latency * (1.0 + 10.0 * state.failure_rate)
        if state.data_centre != self._data_centre:
            score *= _REMOTE_FACTOR
        if state.impaired_until > now:
            score *= _IMPAIRED_FACTOR
        age = now - state.known_since
        if age < self._warmup:
            score /= max(_MIN_WARMUP_SHARE, age / self._warmup)
        return score / max(1, state.slots)
