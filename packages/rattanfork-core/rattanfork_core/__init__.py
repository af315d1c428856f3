"""Decisions of rattanfork, free of input and output.

Every subpackage takes events and a clock in and gives typed decisions out.
Sockets, files and timers live in ``rattanfork_node``.
"""

__all__ = [
    "account",
    "admission",
    "atmostonce",
    "burn",
    "clock",
    "hashing",
    "hints",
    "membership",
    "request",
    "revision",
    "routing",
    "rules",
    "settings",
]
