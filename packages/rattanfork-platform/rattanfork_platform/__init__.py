"""The platform's transactional table service and object store."""

from rattanfork_platform.http import HttpPlatform
from rattanfork_platform.interface import (
    Platform,
    PlatformDownError,
    Row,
)

__all__ = ["HttpPlatform", "Platform", "PlatformDownError", "Row"]
