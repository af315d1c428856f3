"""Thresholds of other guards, heard on replies and from the fleet."""

from rattanfork_core.hints.chain import ChainThresholds
from rattanfork_core.hints.early import EarlyRefusal
from rattanfork_core.hints.health import UpstreamHealth
from rattanfork_core.hints.reach import ChainReach
from rattanfork_core.hints.reports import (
    MOST_REPORTERS,
    GateReport,
    GateReports,
    ServiceReports,
)
from rattanfork_core.hints.table import HintTable

__all__ = [
    "ChainReach",
    "ChainThresholds",
    "EarlyRefusal",
    "GateReports",
    "HintTable",
    "MOST_REPORTERS",
    "ServiceReports",
    "UpstreamHealth",
    "GateReport",
]
