"""Choice of an instance for a call."""

from collections.abc import Iterable
from math import inf
from random import Random

from rattanfork_core.clock import Clock
from rattanfork_core.routing.instance import InstanceState
from rattanfork_core.routing.subset import choose_subset

#: Latency assumed of an instance that has not answered yet, in seconds.
_UNKNOWN_LATENCY = 0.01
#: An instance of another data centre counts as this much busier.
_REMOTE_FACTOR = 1.5
_COLD_SHARE = 0.1
#: An instance whose upstream is impaired counts as this much busier once the others
#: have no room; until then it is left out.
_IMPAIRED_FACTOR = 4.0
#: Latency, as a multiple of the fastest instance's, from which an instance is
#: taken to be in trouble.  Instances of one service differ by a factor of two
#: and a half when all is well.
_MUCH_SLOWER = 3.5
#: Recent share of failures from which an instance is compared with all; one
#: failure among answers stays below it after four more of them.
_SOME_FAILURES = 0.08


#: Mean latencies within which nearly all runs of an operation end: one in 26 takes
#: longer where lengths spread log-normally by 0.8.  At four more requests left their
#: data centre, for bytes that cost more than what they saved.
_TAIL = 3.0
#: Seconds for which the latency of an operation at an instance is believed.  One
#: that was slow for a while is tried again by each node after that.
_BELIEVED_FOR = 5.0
#: Load up to which an instance is preferred for being fast.
_ROOM = 0.7
#: Latency, as a multiple of the fastest instance's, that counts as about as fast.
_ABOUT_AS_FAST = 1.5


class InstancePicker:
    """Chooses among the instances of one service.

    Explanation
    ===========

    Of two instances drawn at random the one with the lower score is taken.
    The score is calls in flight times recent latency, so that a slow
    instance gets less without any health endpoint being asked; failures make
    it worse, and so does being in another data centre, by a factor rather
    than absolutely: the own data centre is preferred until it is the worse
    choice.  A new instance is drawn rarely at first and more with its age.

    Parameters
    ==========

    node : str
        The node that chooses; decides its subset.
    data_centre : str
        Where the node is.
    clock : Clock
        Source of the current time.
    random : Random
        Seeded source of the draws.
    subset_size : int
        Most instances that calls are spread over.
    warmup : float
        Seconds until a new instance gets its full share.
    local_load_limit : float
        Load up to which an instance of the own data centre is taken without
        being compared with others; 0 compares always.

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
        self._local_load = local_load_limit
        self._states: dict[str, InstanceState] = {}
        self._subset: list[InstanceState] = []

    @property
    def states(self) -> dict[str, InstanceState]:
        """All known instances by name."""
        return self._states

    @property
    def subset(self) -> list[InstanceState]:
        """The instances that calls are spread over."""
        return self._subset

    @property
    def slowest_latency(self) -> float:
        """Recent latency of the slowest instance in seconds; 0 while unknown."""
        return max((state.latency for state in self._subset), default=0.0)

    @property
    def fastest_latency(self) -> float:
        """Recent latency of the fastest instance in seconds; 0 while unknown."""
        known = [state.latency for state in self._subset if state.latency]
        return min(known, default=0.0)

    def update(self, instances: Iterable[InstanceState]) -> None:
        """Take in the instances that are alive, keeping what is known."""
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
        open_names = [s.name for s in states.values() if not s.leaving]
        names = choose_subset(self._node, open_names, self._subset_size)
        self._subset = [states[name] for name in names]

    def pick(
        self, excluded: frozenset[str], operation: str = "", timeout: float = inf
    ) -> str | None:
        """Return an instance, or None if all are to be avoided.

        Parameters
        ==========

        avoid : frozenset of str
            Instances that are out of the question.
        operation : str
            What is called, if its latencies are known by instance.
        patience : float
            Seconds after which the call is given up.
        """
        candidates = self._subset
        if excluded:
            candidates = [s for s in candidates if s.name not in excluded]
        if not candidates:
            return None
        healthy = [s for s in candidates if not s.suspect]
        # If all are suspect the fault is more likely on this side.
        candidates = healthy or candidates
        candidates = self._sound(candidates) or candidates
        if timeout < inf:
            candidates = self._quick(candidates, operation, timeout)
        if self._local_load:
            candidates = self._local(candidates) or candidates
        return self._pick_two(candidates).name

    def _sound(self, candidates: list[InstanceState]) -> list[InstanceState]:
        """Return the instances that are not impaired and have room.

        Were those that are impaired left out whatever the others' load, their work
        would fill up a service that has little room, and all of it would shed.
        """
        now = self._clock.now()
        if all(s.impaired_until <= now for s in candidates):
            return candidates
        return [s for s in candidates if s.impaired_until <= now and s.load < _ROOM]

    def _quick(
        self, candidates: list[InstanceState], operation: str, patience: float
    ) -> list[InstanceState]:
        """Return the instances at which a call hardly ever runs out of time.

        Where calls are given up after a few times what they take, the slower
        instances of a service fail several times as many of them as the
        faster, while these have room: with runs of very unequal length, one in
        35 at an instance that is 0.6 times as fast as the mean, and one in 630
        at one that is 1.4 times as fast.

        Only those that are known to be slow are left out, until they have not
        been heard for a while.  Calls that only test the others would be most of
        all where a node makes few.
        """
        enough = patience / _TAIL
        now = self._clock.now()
        latencies = [
            s.expected_operation_latency(operation, now, _BELIEVED_FOR)
            for s in candidates
        ]
        if max(latencies) <= enough:
            return candidates
        roomy = [
            (s, latency)
            for s, latency in zip(candidates, latencies, strict=True)
            if s.load < _ROOM and s.failure_rate < _SOME_FAILURES
        ]
        fastest = min((latency for _, latency in roomy), default=0.0)
        most = max(enough, _ABOUT_AS_FAST * fastest)
        return [s for s, latency in roomy if latency <= most] or candidates

    def _local(self, candidates: list[InstanceState]) -> list[InstanceState]:
        """Return the instances of the own data centre that have room.

        An answer that crosses data centres is paid for in bytes and time, and
        an instance with free slots serves no faster for being less busy.  One
        that is much slower than the others, that fails or that is new is
        compared with all.
        """
        now = self._clock.now()
        fastest = min((s.latency for s in candidates if s.latency), default=0.0)
        slow = _MUCH_SLOWER * fastest
        return [
            s
            for s in candidates
            if s.data_centre == self._data_centre
            and s.load < self._local_load
            and s.failure_rate < _SOME_FAILURES
            and s.impaired_until <= now
            and (not slow or s.expected_latency(now) <= slow)
            and now - s.known_since >= self._warmup
        ]

    def instances_outside(self, data_centre: str) -> frozenset[str]:
        """Return the instances that are not in a data centre."""
        return frozenset(s.name for s in self._subset if s.data_centre != data_centre)

    def pick_weighted(self, count: int) -> list[str]:
        """Return instances for work to be sent later, spread by slots.

        What is in flight now says nothing about later, and keys issued
        together must not all end at the instance that is idle at the moment.
        """
        healthy = [s for s in self._subset if not s.suspect] or self._subset
        if not healthy:
            return []
        weights = [max(1, state.slots) for state in healthy]
        chosen = self._random.choices(healthy, weights, k=count)
        return [state.name for state in chosen]

    def _pick_two(self, candidates: list[InstanceState]) -> InstanceState:
        count = len(candidates)
        if count == 1:
            return candidates[0]
        first = candidates[int(self._random.random() * count)]
        second = candidates[int(self._random.random() * (count - 1))]
        if second is first:
            second = candidates[-1]
        return first if self._score(first) <= self._score(second) else second

    def _score(self, state: InstanceState) -> float:
        now = self._clock.now()
        latency = state.expected_latency(now) or _UNKNOWN_LATENCY
        score = (state.in_flight + 1) * latency * (1.0 + 10.0 * state.failure_rate)
        if state.data_centre != self._data_centre:
            score *= _REMOTE_FACTOR
        if state.impaired_until > now:
            score *= _IMPAIRED_FACTOR
        age = now - state.known_since
        if age < self._warmup:
            score /= max(_COLD_SHARE, age / self._warmup)
        return score / max(1, state.slots)
