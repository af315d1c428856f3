"""Counts and logs how connections of callers ended with something unfinished."""

from collections import Counter

from rattanfork_node.http1 import CloseReason, ConnectionEnd, ConnectionEndObserver
from rattanfork_node.telemetry import Counters, RequestLog

#: Requests that a line names.
_MAX_NAMED_REQUESTS = 8


class ConnectionEndLog(ConnectionEndObserver):
    """Counts each such end by its reason, and writes a line if this node closed.

    Explanation
    ===========

    Callers that leave before their response are ordinary and only counted.

    Parameters
    ==========

    counters : Counters
        Event counters.
    log : RequestLog
        Log with the line budget of requests.
    """

    def __init__(self, counters: Counters, log: RequestLog) -> None:
        self._events = counters.events
        self._log = log

    def on_unfinished(self, end: ConnectionEnd) -> None:
        """Count the end of a connection; log it if this node closed it."""
        prefix = f"callers.closed.{end.reason}"
        stages = Counter(str(request.stage) for request in end.unanswered)
        for stage, count in stages.items():
            self._events[f"{prefix}.{stage}"] += count
        if end.undelivered:
            self._events[f"{prefix}.undelivered"] += 1
        if end.unread:
            self._events[f"{prefix}.unread"] += 1
        if end.reason is CloseReason.CLIENT:
            return
        first = end.unanswered[0].request_id if end.unanswered else b""
        if self._log.should_log(first, plain=False):
            fields = {
                "reason": str(end.reason),
                "unanswered": dict(stages),
                "requests": [
                    request.request_id.decode("latin-1")
                    for request in end.unanswered[:_MAX_NAMED_REQUESTS]
                ],
                "undelivered_bytes": end.undelivered,
                "unread_bytes": end.unread,
            }
            self._log.write("connection_ended", first, fields)
