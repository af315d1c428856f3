"""Thresholds of other guards, heard on replies and from the fleet."""

from rattanfork_core.gate_status.call_chain import ChainThresholds
from rattanfork_core.gate_status.dependencies import ChainReach
from rattanfork_core.gate_status.early_shedding import EarlyRefusal
from rattanfork_core.gate_status.gate_reports import (
    MOST_REPORTERS,
    GateReport,
    GateReports,
    ServiceReports,
)
from rattanfork_core.gate_status.threshold_cache import HintTable
from rattanfork_core.gate_status.upstream_health import UpstreamHealth

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
