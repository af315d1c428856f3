"""A request that runs at the upstream, as its child calls see it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rattanfork_core.budgets.request_budget import RequestBudget
from rattanfork_core.request.importance import Importance


@dataclass(slots=True, eq=False)
class RunContext:
    """What calls to deeper services inherit from the run they belong to.

    Parameters
    ==========

    token : str
        Opaque name, sent to the upstream in ``Rattanfork-Context``.
    deep_cut : float
        Lowest threshold heard from the deeper services this run called.
    refused_retry_after : float
        Longest time that a refused child call was told to stay away.
    cancels : dict
        For each child call under way, what stops it.
    """

    token: str
    request_id: str
    caller: str
    importance: Importance
    operation: str
    account: RequestBudget
    downstream_threshold: float
    downstream_retry_after: float = 0.0
    cancel_callbacks: dict[int, Callable[[], None]] = field(default_factory=dict)
    ended: bool = False

    def on_threshold(self, cut: float) -> None:
        """Take in the threshold of a deeper service."""
        self.downstream_threshold = min(self.downstream_threshold, cut)

    def end(self) -> int:
        """End the run and stop its children; return how many were stopped.

        A half-built screen that nobody waits for would go on to take
        capacity from the deeper services.
        """
        self.ended = True
        cancels = list(self.cancel_callbacks.values())
        self.cancel_callbacks.clear()
        for cancel in cancels:
            cancel()
        return len(cancels)
