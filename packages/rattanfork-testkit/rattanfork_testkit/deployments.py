"""The two deployments of the first users, as stand-ins run them."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service as the stand-in runs it.

    Parameters
    ==========

    workers : int
        Instances.
    slots, connections : int
        Bounds of each instance.
    service_time : float
        Seconds of work for a request, beside its child calls.
    children : dict
        For each operation, the deeper calls it makes, as SERVICE/OPERATION.
    """

    workers: int
    slots: int
    connections: int
    service_time: float
    children: dict[str, tuple[str, ...]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Deployment:
    """One user's services and data centres."""

    name: str
    data_centres: tuple[str, ...]
    services: dict[str, ServiceSpec]


CLAIMS_BUREAU = Deployment(
    "claims-bureau",
    ("prairie-1", "prairie-2", "prairie-3"),
    {
        "receipts": ServiceSpec(
            3, 120, 800, 0.004, {"browse": ("declarations/check",)}
        ),
        "claims": ServiceSpec(
            3,
            120,
            800,
            0.006,
            {"file": ("declarations/check",), "view": ("declarations/check",)},
        ),
        "declarations": ServiceSpec(3, 120, 800, 0.004, {"check": ("donors/search",)}),
        "donors": ServiceSpec(3, 30, 300, 0.010),
    },
)

REGISTRY_AUTHORITY = Deployment(
    "registry-authority",
    ("central-1", "central-2", "central-3"),
    {
        "balance": ServiceSpec(3, 120, 800, 0.004, {"view": ("history/list",)}),
        "receipting": ServiceSpec(
            3, 120, 800, 0.006, {"post": ("history/list",), "list": ("history/list",)}
        ),
        "history": ServiceSpec(3, 120, 800, 0.004, {"list": ("audit/entries",)}),
        "audit": ServiceSpec(3, 35, 300, 0.010),
    },
)
