"""Settings of a node that forwards requests by configured routes."""

from dataclasses import dataclass, field

from rattanfork_node.http1 import HeaderNames
from rattanfork_node.relay.settings import RelaySettings

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class RelayNodeSettings:
    """Settings of a node that forwards requests by configured routes.

    Parameters
    ==========

    instance : str
        Name of the instance.
    callers : pair
        Address for requests of callers and for calls made by the upstream.
    readiness : pair
        Address of the readiness check.
    announcements : pair
        Address that receives the upstream's announcements.
    peers : pair
        Address for TCP connections and UDP datagrams between nodes.
    upstream : pair
        Address of the upstream.
    relay : RelaySettings
        Settings of the route path.
    names : HeaderNames
        Names of the headers to read and set.
    fleet_key : bytes
        Secret shared by all nodes, which authenticates their messages.
    configuration_table, configuration_key : str
        Table and key of the store row that holds the configuration.
    data_centres : int
        Number of data centres of the deployment.  While the store is unavailable, a
        new node accepts rules that nodes of two data centres hold, or of one if
        there is only one.
    metrics : pair or None
        Address at which metrics are served; None to serve none.
    grace : float
        Seconds from SIGTERM until the process is killed.
    memory_bytes : int or None
        Memory limit of the node, in bytes; None if it is not known.
    max_descriptors : int or None
        Limit on open descriptors; None if it is not known.
    """

    instance: str
    callers: Address
    readiness: Address
    announcements: Address
    peers: Address
    upstream: Address
    relay: RelaySettings
    names: HeaderNames = field(default_factory=HeaderNames)
    fleet_key: bytes = b"rattanfork"
    configuration_table: str = "operator"
    configuration_key: str = "configuration"
    data_centres: int = 1
    metrics: Address | None = None
    grace: float = 6.0
    memory_bytes: int | None = None
    max_descriptors: int | None = None
