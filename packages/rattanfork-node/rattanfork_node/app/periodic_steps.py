"""The parts of a node's periodic work."""

from collections import Counter
from collections.abc import Callable, Iterable
from math import inf

from rattanfork_core.clock import Clock

from rattanfork_node.telemetry import log_change

#: Seconds between two log lines on failed steps.
_LOG_INTERVAL_S = 5.0


class PeriodicSteps:
    """Runs the parts of a node's periodic work, each whatever happens to the others.

    Explanation
    ===========

    A node whose periodic work has ended still says that it is ready, but sheds, gossips
    and refreshes nothing.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    steps : iterable of callable
        Called one after the other, at each tick.
    events : collections.Counter
        Counts failed steps as ``tick.failed``.
    """

    def __init__(
        self, clock: Clock, steps: Iterable[Callable[[], None]], events: Counter[str]
    ) -> None:
        self._clock = clock
        self._steps = tuple(steps)
        self._events = events
        self._next_line = -inf

    def run(self) -> None:
        """Run all steps."""
        for step in self._steps:
            try:
                step()
            except Exception as error:
                self._on_failure(step, error)

    def _on_failure(self, step: Callable[[], None], error: Exception) -> None:
        self._events["tick.failed"] += 1
        now = self._clock.now()
        if now >= self._next_line:
            self._next_line = now + _LOG_INTERVAL_S
            name = getattr(step, "__qualname__", repr(step))
            log_change("tick_failed", step=name, error=repr(error))
