"""Reuse and memory of the connections between a node and its upstream."""

from rattanfork_core.connections.causes import NewConnectionCause, ReplacementCauses
from rattanfork_core.connections.descriptor_limit import DescriptorLimit
from rattanfork_core.connections.idle_choice import choose_idle
from rattanfork_core.connections.idle_limit import IdleLimit
from rattanfork_core.connections.open_delay import OpenDelay
from rattanfork_core.connections.request_budget import (
    CONNECTION_BYTES,
    REQUEST_BYTES,
    RequestBudget,
)
from rattanfork_core.connections.response_budget import (
    ResponseBudget,
    ResponseHolder,
)

__all__ = [
    "CONNECTION_BYTES",
    "REQUEST_BYTES",
    "DescriptorLimit",
    "IdleLimit",
    "NewConnectionCause",
    "OpenDelay",
    "ReplacementCauses",
    "RequestBudget",
    "ResponseBudget",
    "ResponseHolder",
    "choose_idle",
]
