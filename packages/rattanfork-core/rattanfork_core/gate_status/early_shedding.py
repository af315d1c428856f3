"""Early shedding of requests that every instance of a service would shed."""

from rattanfork_core.clock import Clock
from rattanfork_core.gate_status.threshold_cache import ThresholdCache
from rattanfork_core.request.importance import RANK_LIMIT
from rattanfork_core.routing import InstancePicker

#: Seconds for which a reported threshold is used unchanged, ranks by which it then
#: rises each second, and seconds without a reply after which a request may probe it.
#: Replies come many times a second while any request passes, so a threshold becomes
#: stale only if none does.
_FRESH_SECONDS = 0.4
_RISE_PER_SECOND = 1.0
_PROBE_AFTER_SECONDS = 0.2
#: Bound on the instances listed in the explanation of a decision.
_MAX_LISTED_INSTANCES = 8
_NO_INSTANCES: frozenset[str] = frozenset()


class EarlyShedder:
    """Sheds a request before any work is done if every instance would shed it.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from random import Random
    >>> from rattanfork_core.clock import ManualClock
    >>> from rattanfork_core.routing import InstanceState
    >>> clock = ManualClock()
    >>> picker = InstancePicker("n1", "dc1", clock, Random(1))
    >>> picker.update([InstanceState("a", "dc1"), InstanceState("b", "dc1")])
    >>> shedder = EarlyShedder(clock)
    >>> shedder.update("lookup", "a", 2.0)
    >>> shedder.shedding_instances(picker, "lookup", 2.5)
    frozenset({'a'})
    >>> shedder.update("lookup", "b", 2.0)
    >>> shedder.shedding_instances(picker, "lookup", 2.5) is None
    True
    """

    def __init__(self, clock: Clock) -> None:
        self._thresholds = ThresholdCache(
            clock, _FRESH_SECONDS, _RISE_PER_SECOND, _PROBE_AFTER_SECONDS
        )

    def update(self, operation: str, instance: str, threshold: float) -> None:
        """Store the threshold that came with a reply."""
        self._thresholds.update(operation, instance, threshold)

    def shedding_instances(
        self, picker: InstancePicker, operation: str, rank: float
    ) -> frozenset[str] | None:
        """Return the instances that would shed a rank; None if all would."""
        thresholds = self._thresholds
        if not thresholds.has_entries(operation):
            return _NO_INSTANCES
        shedding = []
        admitted = False
        for state in picker.subset:
            if rank < thresholds.threshold(operation, state.name):
                # A threshold that rises with time admits all requests of a rank at
                # once, long before a reply shows that the gate still sheds the rank:
                # nearly a third of the requests to such a service were started and
                # failed.  While the last reported thresholds shed the rank at every
                # instance, only probes pass.
                admitted |= rank < thresholds.last_reported(operation, state.name)
            elif not state.mostly_failing:
                shedding.append(state.name)
        if admitted:
            return frozenset(shedding)
        for state in picker.subset:
            if thresholds.allow_probe(operation, state.name, rank):
                return frozenset(s.name for s in picker.subset if s is not state)
        return None

    def highest_threshold(
        self,
        picker: InstancePicker,
        operation: str,
        own_instance: str = "",
        own_threshold: float = 0,
    ) -> float | None:
        """Return the threshold of the instance that sheds least.

        Parameters
        ==========

        picker : InstancePicker
            The instances of the service.
        operation : str
            Operation that is called.
        own_instance : str
            Instance of this node, whose threshold is known exactly, or "".
        own_threshold : float
            Its threshold.

        Returns
        =======

        float or None
            None if all instances mostly fail.
        """
        thresholds = [
            own_threshold
            if state.name == own_instance
            else self._thresholds.threshold(operation, state.name)
            for state in picker.subset
            if not state.mostly_failing
        ]
        return max(thresholds, default=None)

    def shed_share(self, picker: InstancePicker, operation: str) -> float:
        """Return the share of ranks that all instances shed, from 0 to 1."""
        thresholds = [
            self._thresholds.threshold(operation, state.name) for state in picker.subset
        ]
        return 1.0 - max(thresholds) / RANK_LIMIT

    def thresholds(
        self, picker: InstancePicker, operation: str
    ) -> dict[str, tuple[float, float]]:
        """Return reported thresholds and their ages in seconds, by instance."""
        reported = {
            state.name: self._thresholds.threshold_and_age(operation, state.name)
            for state in picker.subset[:_MAX_LISTED_INSTANCES]
        }
        return {name: entry for name, entry in reported.items() if entry is not None}
