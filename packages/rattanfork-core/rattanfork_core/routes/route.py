"""One route."""

from dataclasses import dataclass

from rattanfork_core.request.importance import RANKS


@dataclass(frozen=True, slots=True)
class Share:
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
    shares : tuple of Share
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
    shares: tuple[Share, ...]
    idempotent: bool = False
    timeout: float = 10.0
    target_latency: float = 1.0
    priority: int = 2
    most_upstreams: int = 2
    anonymous: bool = False


def importance_of(priority: int) -> int:
    """Return the importance that a priority stands for.

    Examples
    ========

    >>> importance_of(1), importance_of(-3), importance_of(99)
    (1, 0, 4)
    """
    return min(max(priority, 0), RANKS - 1)
