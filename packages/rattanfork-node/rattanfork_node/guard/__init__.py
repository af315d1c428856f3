"""The guard: the only part that hands requests to the upstream."""

from rattanfork_node.guard.guard import Guard
from rattanfork_node.guard.request import GuardRequest
from rattanfork_node.guard.upstream import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRefusedError,
    UpstreamShedError,
    UpstreamTooLargeError,
)

__all__ = [
    "Guard",
    "GuardRequest",
    "UpstreamAnswer",
    "UpstreamClient",
    "UpstreamRefusedError",
    "UpstreamShedError",
    "UpstreamTooLargeError",
]
