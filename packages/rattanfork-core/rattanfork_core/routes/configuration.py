"""One version of the configuration."""

from dataclasses import dataclass, field

from rattanfork_core.client_accounts import AccountIndex
from rattanfork_core.routes.route import Route
from rattanfork_core.routes.table import RouteTable


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """What is configured of a service.

    Parameters
    ==========

    probe_path : str
        Path of the health probe.
    connections : int
        Connections that each of its upstreams takes.
    """

    probe_path: str = "/health"
    connections: int = 100


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration; a higher version replaces a lower.

    Parameters
    ==========

    version : int
        Its place in the order of configurations.
    routes : tuple of Route
        All routes.
    services : dict
        What is configured of each service, by name.
    max_head_bytes, max_body_bytes : int
        Most bytes of a request's head and body.
    head_timeout, idle_timeout : float
        Seconds for a request's head, and between requests.
    accounts : AccountIndex or None
        The client accounts; None where requests carry no keys.
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

    def __post_init__(self) -> None:
        object.__setattr__(self, "table", RouteTable(self.routes))
