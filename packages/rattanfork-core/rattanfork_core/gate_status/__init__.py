"""Admission thresholds and upstream health that gates report to other nodes.

Explanation
===========

A *gate* is the admission control that a node runs in front of its upstream.  Each
request has a *rank* in ``[0, RANK_LIMIT)``; requests of higher rank are shed first.  A
gate sheds every rank from its *threshold* on, like a service in DAGOR from its
admission level on.  Other nodes learn the threshold from replies and by gossip, and use
it before they forward a request: to shed it early, or to pick another instance.
"""

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
    "CallChainThresholds",
    "EarlyShedder",
    "GateReport",
    "GateReportTable",
    "MAX_REPORTERS",
    "OperationDependencies",
    "ReportsByService",
    "ThresholdCache",
    "UpstreamHealth",
]
