"""Settings of the route path."""

from dataclasses import dataclass, field

from rattanfork_core.quota import QuotaBound


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings of the route path of a node.

    Parameters
    ==========

    service : str
        Service that this node's upstream belongs to.
    data_centre : str
        Data centre of this node.
    retry_after : float
        Smallest Retry-After of a refusal, in seconds.  Callers wait at most a
        third of the time they have left, so a larger value has no effect.
    retry_budget_ratio : float
        Retries per request that a service may receive, over all nodes.
    retry_budget_extra : float
        Retries per window that it may receive in addition, over all nodes.
    retry_budget_window : float
        Length of the retry budget's window, in seconds.
    revoke_within : float or None
        Seconds within which every node must reject a revoked key; None if only
        nodes that reach the store are bound.
    quota : QuotaBound
        Bound by which client accounts may exceed their quotas.
    """

    service: str
    data_centre: str
    retry_after: float = 0.25
    retry_budget_ratio: float = 0.2
    retry_budget_extra: float = 48.0
    retry_budget_window: float = 10.0
    revoke_within: float | None = None
    quota: QuotaBound = field(default_factory=QuotaBound)
