"""A client account with its priority and quota."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A customer of the services, authenticated by its API keys.

    Parameters
    ==========

    name : str
        Identifies the account in its configuration.
    priority : int or None
        Priority of the account's requests, which overrides that of the route; 0 is
        shed last.  With None the route's priority applies.
    rate : float
        Quota in requests per second over all nodes; 0 for no limit.
    burst : float
        Requests allowed in a burst in addition to the rate.

    Examples
    ========

    >>> ClientAccount("clerks", rate=20).limited
    True
    >>> ClientAccount("auditors").limited
    False
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0

    @property
    def limited(self) -> bool:
        """Whether the account has a quota."""
        return self.rate > 0
