"""Models of a node's settings file; durations are in seconds."""

from ipaddress import IPv4Address
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(min_length=1, max_length=100, pattern=r"^[\w.-]+$")]
HostPort = Annotated[str, Field(pattern=r"^[\d.]+:\d{1,5}$")]
Url = Annotated[str, Field(pattern=r"^http://[\d.]+:\d{1,5}$")]


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class UpstreamSettings(_Strict):
    """The upstream instance that the node forwards requests to.

    ``slots`` is the number of requests that it runs at a time, and ``connections`` the
    maximum number of connections to it; both apply until the upstream announces its
    own values.  An upstream that announces nothing for ``announce_timeout`` gets no
    further requests.  ``warmup`` is the time over which its concurrency limit rises
    to the full value after a cold start.
    """

    url: Url
    slots: int = Field(100, ge=1, le=100_000)
    connections: int = Field(800, ge=1, le=100_000)
    announce_timeout: float = Field(5.0, gt=0, le=300)
    warmup: float = Field(2.0, ge=0, le=600)

    @model_validator(mode="after")
    def _check_connections(self) -> Self:
        if self.connections < self.slots:
            raise ValueError("connections must be at least slots")
        return self


class PlatformSettings(_Strict):
    """The platform's table service and object store."""

    url: Url
    timeout: float = Field(1.0, gt=0, le=30)


class SecuritySettings(_Strict):
    """The shared secret with which nodes authenticate each other."""

    key: str = Field(min_length=16, max_length=1000)


class LimitSettings(_Strict):
    """Maximum body size in bytes, and maximum callers and concurrent requests."""

    body: int = Field(1 << 20, ge=1024, le=16 << 20)
    callers: int = Field(2000, ge=1, le=100_000)
    requests: int = Field(5000, ge=1, le=100_000)


class RequestSettings(_Strict):
    """Defaults for values that neither the caller nor a rule sets.

    ``attempts`` is the number of extra attempts for the whole call tree, ``silence``
    the time without traffic from a peer after which its connection counts as lost.
    """

    deadline: float = Field(2.0, gt=0, le=600)
    longest_deadline: float = Field(60.0, gt=0, le=600)
    attempts: int = Field(2, ge=0, le=10)
    retry_after: float = Field(1.0, gt=0, le=600)
    silence: float = Field(0.6, ge=0.2, le=60)

    @model_validator(mode="after")
    def _check_deadline(self) -> Self:
        if self.deadline > self.longest_deadline:
            raise ValueError("deadline must not exceed longest_deadline")
        return self


class RulesSettings(_Strict):
    """How a node obtains the rules in force.

    ``data_centres_needed`` is the number of data centres whose peers make a node
    ready if the table of rules is unavailable; ``readers`` is the number of nodes per
    data centre that read the table, every ``read_interval`` seconds.
    """

    data_centres_needed: int = Field(2, ge=1, le=15)
    readers: int = Field(2, ge=1, le=10)
    read_interval: float = Field(0.5, gt=0, le=60)


class TelemetrySettings(_Strict):
    """Destinations of metrics and logs."""

    otlp_endpoint: str | None = None
    export_interval: float = Field(10.0, gt=0, le=600)
    log: str = Field("stderr", description="stderr, none, or the path of a file")


class NodeSettings(_Strict):
    """All settings of a node."""

    instance: Name
    service: Name
    data_centre: Name
    host: IPv4Address
    edge_port: Port
    peer_port: Port
    gossip_port: Port
    admin_port: Port
    seeds: list[HostPort] = []
    drain_limit: float = Field(30.0, gt=0, le=3600)
    security: SecuritySettings
    upstream: UpstreamSettings | None = None
    platform: PlatformSettings | None = None
    limits: LimitSettings = LimitSettings()
    requests: RequestSettings = RequestSettings()
    rules: RulesSettings = RulesSettings()
    telemetry: TelemetrySettings = TelemetrySettings()

    @model_validator(mode="after")
    def _check_ports(self) -> Self:
        ports = [self.edge_port, self.peer_port, self.admin_port]
        if len(set(ports)) < len(ports):
            raise ValueError("edge_port, peer_port and admin_port must differ")
        return self
