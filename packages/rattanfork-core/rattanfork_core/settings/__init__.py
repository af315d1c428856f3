"""The settings file of a node, as validated models."""

from rattanfork_core.settings.load import load_settings
from rattanfork_core.settings.models import (
    LimitSettings,
    NodeSettings,
    PlatformSettings,
    RequestSettings,
    RulesSettings,
    SecuritySettings,
    TelemetrySettings,
    UpstreamSettings,
)

__all__ = [
    "LimitSettings",
    "NodeSettings",
    "PlatformSettings",
    "RequestSettings",
    "RulesSettings",
    "SecuritySettings",
    "TelemetrySettings",
    "UpstreamSettings",
    "load_settings",
]
