"""Counters, metrics and logs of a node."""

from rattanfork_node.telemetry.counters import Counters
from rattanfork_node.telemetry.http_log import counting_logger
from rattanfork_node.telemetry.log import log_change, start_log
from rattanfork_node.telemetry.metrics import Metrics

__all__ = ["Counters", "Metrics", "counting_logger", "log_change", "start_log"]
