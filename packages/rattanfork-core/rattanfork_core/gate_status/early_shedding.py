"""Refusal of what every instance would refuse."""

from rattanfork_core.clock import Clock
from rattanfork_core.gate_status.threshold_cache import ThresholdCache
from rattanfork_core.request.importance import RANK_LIMIT
from rattanfork_core.routing import InstancePicker

#: Seconds for which a threshold heard is believed as it is, ranks by which it
#: rises in a second after that, and seconds without news after which one
#: request may test it.  Replies come many times a second while any request
#: passes; only when none does has the threshold to open by itself.
_FRESH = 0.4
_RISE = 1.0
_PROBE_AFTER = 0.2
#: Instances named in what is told of a refusal.
_MOST_TOLD = 8
_NOBODY: frozenset[str] = frozenset()


class EarlyShedder:
    """Refuses, before any work is done, what every instance would shed.

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
        self._hints = ThresholdCache(clock, _FRESH, _RISE, _PROBE_AFTER)

    def update(self, operation: str, instance: str, cut: float) -> None:
        """Take in the threshold that came with a reply."""
        self._hints.update(operation, instance, cut)

    def shedding_instances(
        self, picker: InstancePicker, operation: str, rank: float
    ) -> frozenset[str] | None:
        """Return the instances that would shed a rank; None if all would."""
        hints = self._hints
        if not len(hints):
            return _NOBODY
        blocked = []
        passing = False
        for state in picker.subset:
            if rank < hints.threshold(operation, state.name):
                # By time alone a threshold opens to all at once, long before
                # the first reply tells that it still holds: nearly a third of
                # the requests to a service that was shut to them were begun,
                # and failed.  So while the last word shuts a rank out at every
                # instance, only probes pass.
                passing |= rank < hints.last_reported(operation, state.name)
            elif not state.mostly_failing:
                blocked.append(state.name)
        if passing:
            return frozenset(blocked)
        for state in picker.subset:
            if hints.allow_probe(operation, state.name, rank):
                return frozenset(s.name for s in picker.subset if s is not state)
        return None

    def highest_threshold(
        self, picker: InstancePicker, operation: str, own: str = "", own_cut: float = 0
    ) -> float | None:
        """Return the threshold of the instance that sheds least.

        Parameters
        ==========

        picker : InstancePicker
            The instances.
        operation : str
            Operation that is called.
        own : str
            An instance whose threshold is known at first hand, or "".
        own_cut : float
            Its threshold.

        Returns
        =======

        float or None
            None if all instances mostly fail.
        """
        cuts = [
            own_cut
            if state.name == own
            else self._hints.threshold(operation, state.name)
            for state in picker.subset
            if not state.mostly_failing
        ]
        return max(cuts, default=None)

    def shed_share(self, picker: InstancePicker, operation: str) -> float:
        """Return 0 while all is admitted, up to 1 when nothing is."""
        cuts = [self._hints.threshold(operation, state.name) for state in picker.subset]
        return 1.0 - max(cuts) / RANK_LIMIT

    def thresholds(
        self, picker: InstancePicker, operation: str
    ) -> dict[str, tuple[float, float]]:
        """Return thresholds heard and their ages in seconds, by instance."""
        heard = {
            state.name: self._hints.threshold_and_age(operation, state.name)
            for state in picker.subset[:_MOST_TOLD]
        }
        return {name: hint for name, hint in heard.items() if hint is not None}
