"""The thresholds for runs of one operation."""

from rattanfork_core.admission.late import LateCut
from rattanfork_core.admission.refusals import RefusalCut
from rattanfork_core.clock import Clock


class RunCuts:
    """What runs of one operation learn from their deeper calls.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> cuts = RunCuts(ManualClock())
    >>> cuts.late.on_late(2.5)
    >>> round(cuts.value, 2)
    2.98
    """

    __slots__ = ("late", "refusals")

    def __init__(self, clock: Clock) -> None:
        self.late = LateCut(clock)
        self.refusals = RefusalCut(clock)

    @property
    def value(self) -> float:
        """Runs of this rank or above are shed."""
        return min(self.late.value, self.refusals.value)
