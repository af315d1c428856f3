"""Tests of the parts of a node's periodic work."""

from collections import Counter

from rattanfork_core.clock import ManualClock
from rattanfork_node.app.periodic_steps import PeriodicSteps


def test_failed_step_ends_neither_the_others_nor_later_ticks():
    """Guards against a node that says it is ready and does no periodic work."""
    done: list[str] = []

    def fail() -> None:
        raise OverflowError("int too big to convert")

    events: Counter[str] = Counter()
    steps = PeriodicSteps(ManualClock(), [fail, lambda: done.append("next")], events)
    steps.run()
    steps.run()
    assert done == ["next", "next"]
    assert events["tick.failed"] == 2
