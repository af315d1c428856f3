"""Decisions of rattanfork, free of input and output.

Every subpackage takes events and a clock in and gives typed decisions out.
Sockets, files and timers live in ``rattanfork_node``.
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
