"""Settings of the path of a request by routes."""

from dataclasses import dataclass, field

from rattanfork_core.quota import QuotaBound


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings of the path of a request by routes.

    Parameters
    ==========

    service : str
        Service of this node's upstream.
    data_centre : str
        Where this node runs.
    retry_after : float
        Shortest time, in seconds, for which a refused caller stays away.
        Callers wait at most a third of the time they have left, so more
        would not be heeded.
    retry_budget_ratio : float
        Repeated arrivals that a service may get for each request, over all
        nodes.
    retry_budget_extra : float
        Repeated arrivals that it may get besides in one window, over all.
    retry_budget_window : float
        Length of that window, in seconds.
    revoke_within : float or None
        Seconds in which a key that was taken away must be out of use at every node;
        None if that binds only nodes that reach the store.
    quota : QuotaBound
        By how much quotas may be exceeded.
    """

    service: str
    data_centre: str
    retry_after: float = 0.25
    retry_budget_ratio: float = 0.2
    retry_budget_extra: float = 48.0
    retry_budget_window: float = 10.0
    revoke_within: float | None = None
    quota: QuotaBound = field(default_factory=QuotaBound)
