"""Decision logic of rattanfork, without I/O.

Each subpackage takes events and a clock, and returns typed decisions.
Sockets, files and timers are in ``rattanfork_node``.
"""

__all__ = [
    "budgets",
    "admission",
    "idempotency",
    "burn",
    "clock",
    "hashing",
    "gate_status",
    "membership",
    "request",
    "revision",
    "routing",
    "rules",
    "settings",
]
