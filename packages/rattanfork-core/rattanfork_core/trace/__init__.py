"""Request logging: sampling of lines at the node, and analysis of logs afterwards."""

from rattanfork_core.trace.log_line import LogLine, parse_line, parse_lines
from rattanfork_core.trace.log_sampler import LogSampler
from rattanfork_core.trace.losses import Loss, LossReport, count_losses, loss_cause
from rattanfork_core.trace.request_trace import TraceEvent, trace_request
from rattanfork_core.trace.summary import ReasonCount, count_reasons

__all__ = [
    "LogSampler",
    "LogLine",
    "Loss",
    "LossReport",
    "ReasonCount",
    "TraceEvent",
    "count_losses",
    "count_reasons",
    "loss_cause",
    "parse_line",
    "parse_lines",
    "trace_request",
]
