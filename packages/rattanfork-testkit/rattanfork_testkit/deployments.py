"""Services and data centres of two example deployments."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Capacity and child calls of a service that stand-ins run.

    Parameters
    ==========

    workers : int
        Number of instances.
    slots, connections : int
        Most concurrent requests and connections of each instance.
    service_time : float
        Mean seconds of work per request, without its child calls.
    children : dict
        For each operation, its calls to other services, as SERVICE/OPERATION.
    """

    workers: int
    slots: int
    connections: int
    service_time: float
    children: dict[str, tuple[str, ...]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Services and data centres of one user."""

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
