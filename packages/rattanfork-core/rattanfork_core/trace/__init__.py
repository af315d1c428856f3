"""Lines about requests: which are written, and what they tell afterwards."""

from rattanfork_core.trace.budget import LineBudget
from rattanfork_core.trace.line import LogLine, parse_line, read_lines
from rattanfork_core.trace.losses import Loss, LossReport, count_losses, loss_cause
from rattanfork_core.trace.story import Step, tell_story
from rattanfork_core.trace.summary import ReasonCount, count_reasons

__all__ = [
    "LineBudget",
    "LogLine",
    "Loss",
    "LossReport",
    "ReasonCount",
    "Step",
    "count_losses",
    "count_reasons",
    "loss_cause",
    "parse_line",
    "read_lines",
    "tell_story",
]
