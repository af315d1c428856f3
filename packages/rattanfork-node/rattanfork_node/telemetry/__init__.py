"""Counters, logs and metrics of a node.

OpenTelemetry metrics are imported from :mod:`rattanfork_node.telemetry.metrics` only
where they are used: the library takes tens of megabytes, which a node that serves its
counters as Prometheus text does not need.
"""

from rattanfork_node.telemetry.counters import Counters
from rattanfork_node.telemetry.http_log import counting_logger
from rattanfork_node.telemetry.log import log_change, start_log
from rattanfork_node.telemetry.request_log import RequestLog
from rattanfork_node.telemetry.unexpected_errors import UnexpectedErrors
from rattanfork_node.telemetry.writer import LineWriter

__all__ = [
    "Counters",
    "LineWriter",
    "RequestLog",
    "UnexpectedErrors",
    "counting_logger",
    "log_change",
    "start_log",
]
