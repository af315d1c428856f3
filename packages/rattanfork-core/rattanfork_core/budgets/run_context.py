"""State that the child calls of a running request share."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rattanfork_core.budgets.request_budget import RequestBudget
from rattanfork_core.request.importance import Importance


@dataclass(slots=True, eq=False)
class RunContext:
    """A request running at the upstream, as its child calls inherit it.

    Parameters
    ==========

    token : str
        Opaque identifier, sent to the upstream in ``Rattanfork-Context``.
    account : RequestBudget
        Deadline and extra attempts for the child calls of the run.
    downstream_threshold : float
        Lowest admission threshold received from the services that this run called.
    downstream_retry_after : float
        Longest ``Retry-After`` of a refused child call, in seconds.
    cancel_callbacks : dict
        For each outstanding child call, the function that cancels it.
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

    def on_threshold(self, threshold: float) -> None:
        """Record the admission threshold of a downstream service."""
        self.downstream_threshold = min(self.downstream_threshold, threshold)

    def end(self) -> int:
        """End the run and cancel its child calls; return how many there were.

        Their results are no longer needed, but they would still use capacity of the
        downstream services.
        """
        self.ended = True
        cancels = list(self.cancel_callbacks.values())
        self.cancel_callbacks.clear()
        for cancel in cancels:
            cancel()
        return len(cancels)
