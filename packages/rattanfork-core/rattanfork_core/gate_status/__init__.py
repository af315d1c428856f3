"""Thresholds of other guards, heard on replies and from the fleet."""

from rattanfork_core.gate_status.call_chain import CallChainThresholds
from rattanfork_core.gate_status.dependencies import OperationDependencies
from rattanfork_core.gate_status.early_shedding import EarlyShedder
from rattanfork_core.gate_status.gate_reports import (
    MAX_REPORTERS,
    GateReport,
    GateReportTable,
    ReportsByService,
)
from rattanfork_core.gate_status.threshold_cache import ThresholdCache
from rattanfork_core.gate_status.upstream_health import UpstreamHealth

__all__ = [
    "OperationDependencies",
    "CallChainThresholds",
    "EarlyShedder",
    "GateReportTable",
    "ThresholdCache",
    "MAX_REPORTERS",
    "ReportsByService",
    "UpstreamHealth",
    "GateReport",
]
