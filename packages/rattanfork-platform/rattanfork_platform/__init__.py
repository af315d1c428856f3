"""Interface to the platform's transactional table service.

Nodes read routes, rules and member records through it and write with
compare-and-set; no request is sent through it.  The HTTP client is imported from
:mod:`rattanfork_platform.http` only where it is used, because aiohttp is slow to load.
"""

from rattanfork_platform.interface import (
    HistoryLostError,
    PendingCall,
    Platform,
    PlatformDownError,
    Row,
    Rows,
    WatchedPlatform,
)

__all__ = [
    "HistoryLostError",
    "PendingCall",
    "Platform",
    "PlatformDownError",
    "Row",
    "Rows",
    "WatchedPlatform",
]
