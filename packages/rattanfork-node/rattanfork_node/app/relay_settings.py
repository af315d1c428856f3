"""Settings of a node that relays by routes."""

from dataclasses import dataclass, field

from rattanfork_node.http1 import HeaderNames
from rattanfork_node.relay.settings import RelaySettings

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class RelayNodeSettings:
    """Settings of a node that relays by routes.

    Parameters
    ==========

    instance : str
        Name of the instance.
    callers : pair
        Address for callers and for the calls of the upstream.
    readiness : pair
        Address at which readiness is asked for.
    announcements : pair
        Address at which the upstream announces itself.
    peers : pair
        Address for streams and datagrams between nodes.
    upstream : pair
        Address of the upstream.
    relay : RelaySettings
        Bounds of the path of a request.
    names : HeaderNames
        Headers to read and set.
    fleet_key : bytes
        Secret that all nodes share.
    configuration_table, configuration_key : str
        The row that holds the configuration.
    data_centres : int
        Data centres of the deployment.  While the store is away, a fresh node
        takes the rules on the word of two of them, or of the only one.
    metrics : pair or None
        Address at which metrics are served; None for nowhere.
    grace : float
        Seconds from SIGTERM until the process is killed.
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
