"""One route."""

from dataclasses import dataclass

from rattanfork_core.request.importance import RANK_LIMIT


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service among which a route's requests are divided.

    Parameters
    ==========

    service : str
        The service.
    weight : float
        Its part, relative to the other shares of the route.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and how.

    Parameters
    ==========

    name : str
        Identifies the route in its configuration.
    host : str
        Host that requests name, in lower case.
    prefix : str
        Beginning of their paths; starts and ends with a slash.
    services : tuple of WeightedService
        The services; one or more.
    idempotent : bool
        Whether running a request twice does no harm.
    timeout : float
        Seconds after which the caller must have its answer.
    target_latency : float
        Seconds within which an answer is of full use.
    priority : int
        Rank among routes; 0 is shed last.
    most_upstreams : int
        Most upstreams that one request may be sent to.
    anonymous : bool
        Whether requests need no key of a client account.
    """

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    idempotent: bool = False
    timeout: float = 10.0
    target_latency: float = 1.0
    priority: int = 2
    most_upstreams: int = 2
    anonymous: bool = False


def importance_of_priority(priority: int) -> int:
    """Return the importance that a priority stands for.

    Examples
    ========

    >>> [importance_of_priority(priority) for priority in (1, -3, 99)]
    [1, 0, 4]
    """
    return min(max(priority, 0), RANK_LIMIT - 1)
