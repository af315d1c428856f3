"""One client account."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A customer of the services, whose requests carry its keys.

    Parameters
    ==========

    name : str
        Identifies the account in its configuration.
    priority : int or None
        Rank among accounts, before that of the route; 0 is shed last.  None leaves
        the rank to the route.
    rate : float
        Requests a second over the whole fleet; 0 for no limit.
    burst : float
        Requests that may come at once besides.

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
