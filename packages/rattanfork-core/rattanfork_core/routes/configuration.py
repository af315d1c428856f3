"""Configuration of routes, services and client accounts, as a node applies it."""

from dataclasses import dataclass, field

from rattanfork_core.client_accounts import AccountIndex
from rattanfork_core.routes.route import Route
from rattanfork_core.routes.table import RouteTable


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Configuration of a service.

    Parameters
    ==========

    probe_path : str
        Path of the health probe.
    connections : int
        Maximum number of connections to each of its upstreams.
    """

    probe_path: str = "/health"
    connections: int = 100


@dataclass(frozen=True, slots=True)
class Configuration:
    """A version of the configuration; a higher version replaces a lower one.

    Parameters
    ==========

    version : int
        Version number.
    routes : tuple of Route
        All routes.
    services : dict
        Configuration of each service, by name.
    max_head_bytes, max_body_bytes : int
        Largest size of a request's head and body.
    head_timeout, idle_timeout : float
        Seconds within which a client has to send a request's head, and for which its
        connection may be idle between requests.
    accounts : AccountIndex or None
        The client accounts; None if requests carry no API keys.
    table : RouteTable
        Index of the routes.
    upload_routes : frozenset of str
        Names of the routes of uploads.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceConfig]
    max_head_bytes: int = 16_384
    max_body_bytes: int = 16 << 20
    head_timeout: float = 3.0
    idle_timeout: float = 15.0
    accounts: AccountIndex | None = None
    table: RouteTable = field(init=False, repr=False, compare=False)
    upload_routes: frozenset[str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "table", RouteTable(self.routes))
        uploads = frozenset(route.name for route in self.routes if route.upload)
        object.__setattr__(self, "upload_routes", uploads)

    @property
    def longest_timeout(self) -> float:
        """Longest time-out of a route, in seconds; 0 without routes."""
        return max((route.timeout for route in self.routes), default=0.0)
