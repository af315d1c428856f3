"""The platform's transactional table service and object store.

The client of the project's own stand-in is imported from
:mod:`rattanfork_platform.http`, because its library is large.
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
