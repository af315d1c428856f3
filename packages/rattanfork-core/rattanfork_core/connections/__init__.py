"""Reuse of keep-alive connections between a node and its upstream."""

from rattanfork_core.connections.causes import NewConnectionCause, ReplacementCauses
from rattanfork_core.connections.idle_choice import choose_idle
from rattanfork_core.connections.idle_limit import IdleLimit
from rattanfork_core.connections.open_delay import OpenDelay

__all__ = [
    "IdleLimit",
    "NewConnectionCause",
    "OpenDelay",
    "ReplacementCauses",
    "choose_idle",
]
