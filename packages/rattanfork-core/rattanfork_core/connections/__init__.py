"""Reuse and memory of the connections between a node and its upstream."""

from rattanfork_core.connections.causes import NewConnectionCause, ReplacementCauses
from rattanfork_core.connections.idle_choice import choose_idle
from rattanfork_core.connections.idle_limit import IdleLimit
from rattanfork_core.connections.open_delay import OpenDelay
from rattanfork_core.connections.response_budget import (
    ResponseBudget,
    ResponseHolder,
    response_budget_bytes,
    unsent_budget_bytes,
)

__all__ = [
    "IdleLimit",
    "NewConnectionCause",
    "OpenDelay",
    "ReplacementCauses",
    "ResponseBudget",
    "ResponseHolder",
    "choose_idle",
    "response_budget_bytes",
    "unsent_budget_bytes",
]
