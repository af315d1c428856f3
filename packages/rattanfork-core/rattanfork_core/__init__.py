"""Decision logic of rattanfork, without I/O.

Each subpackage takes events and a clock, and returns typed decisions.
Sockets, files and timers are in ``rattanfork_node``.
"""

__all__ = [
    "admission",
    "budgets",
    "burn",
    "clock",
    "gate_status",
    "hashing",
    "idempotency",
    "membership",
    "request",
    "revision",
    "routing",
    "rules",
    "settings",
]
