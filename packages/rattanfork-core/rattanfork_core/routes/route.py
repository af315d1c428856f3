"""Routes as configured: match, target services and defaults for requests."""

from dataclasses import dataclass

from rattanfork_core.request.importance import RANK_LIMIT


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a weighted part of a route's requests.

    Parameters
    ==========

    service : str
        Name of the service.
    weight : float
        Its weight relative to the other services of the route.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Target services and treatment of the requests for a host and path prefix.

    Parameters
    ==========

    name : str
        Identifies the route in its configuration.
    host : str
        Host of the requests, in lower case.
    prefix : str
        Path prefix of the requests; starts and ends with a slash.
    services : tuple of WeightedService
        Services among which the requests are divided; one or more.
    idempotent : bool
        Whether a request may be run more than once.
    timeout : float
        Seconds within which the response has to reach the caller.
    target_latency : float
        Latency objective of responses, in seconds.
    priority : int
        Priority among routes; 0 is the highest and shed last.
    most_upstreams : int
        Maximum number of upstreams that one request is sent to.
    anonymous : bool
        Whether requests are accepted without an API key of a client account.
    upload : bool
        Whether requests with large bodies are decided on before the body is read.
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
    upload: bool = False


def importance_of_priority(priority: int) -> int:
    """Return the importance of a configured priority, which is clamped to the range.

    Examples
    ========

    >>> [importance_of_priority(priority) for priority in (1, -3, 99)]
    [1, 0, 4]
    """
    return min(max(priority, 0), RANK_LIMIT - 1)
