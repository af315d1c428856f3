"""Request logging: sampling of lines at the node, and analysis of logs afterwards."""

from rattanfork_core.trace.account_load import (
    AccountLoad,
    AccountLoadReport,
    measure_account_load,
)
from rattanfork_core.trace.log_line import LogLine, parse_line, parse_lines
from rattanfork_core.trace.log_sampler import LogSampler
from rattanfork_core.trace.losses import Loss, LossReport, count_losses, loss_cause
from rattanfork_core.trace.request_trace import TraceEvent, trace_request
from rattanfork_core.trace.sampled_roots import RequestResult
from rattanfork_core.trace.slot_time import SlotTimeCounter, measure_slot_time
from rattanfork_core.trace.slot_time_report import SlotTime, SlotTimeReport
from rattanfork_core.trace.summary import ReasonCount, count_reasons

__all__ = [
    "AccountLoad",
    "AccountLoadReport",
    "LogSampler",
    "LogLine",
    "Loss",
    "LossReport",
    "ReasonCount",
    "RequestResult",
    "SlotTime",
    "SlotTimeCounter",
    "SlotTimeReport",
    "TraceEvent",
    "count_losses",
    "count_reasons",
    "loss_cause",
    "measure_account_load",
    "measure_slot_time",
    "parse_line",
    "parse_lines",
    "trace_request",
]
