"""Tests of counters and lines about connections that end unfinished."""

import os

import msgspec
import pytest
from rattanfork_core.clock import ManualClock
from rattanfork_core.trace import LogSampler
from rattanfork_node.app.connection_end_log import ConnectionEndLog
from rattanfork_node.http1 import (
    CloseReason,
    ConnectionEnd,
    RequestStage,
    UnansweredRequest,
)
from rattanfork_node.telemetry import Counters, LineWriter, RequestLog


@pytest.mark.parametrize("reason", CloseReason)
def test_end_is_counted_by_reason_and_logged_unless_the_client_left(tmp_path, reason):
    """Guards against lost requests that no counter and no line tells apart."""
    path, counters = tmp_path / "log", Counters()
    writer = LineWriter(os.open(path, os.O_WRONLY | os.O_CREAT))
    log = RequestLog(writer, LogSampler(ManualClock(1.0)), "n1", lambda: 5.0)
    request = UnansweredRequest(b"r1", RequestStage.PASSED_ON)
    end = ConnectionEnd(reason, [request], undelivered=7, unread=0)
    ConnectionEndLog(counters, log).on_unfinished(end)
    writer.flush()
    assert counters.events == {
        f"callers.closed.{reason}.passed-on": 1,
        f"callers.closed.{reason}.undelivered": 1,
    }
    lines = [msgspec.json.decode(line) for line in path.read_text().splitlines()]
    if reason is CloseReason.CLIENT:
        assert lines == []
        return
    [line] = lines
    assert line["message_type"] == "rattanfork:connection_ended"
    assert (line["reason"], line["requests"]) == (str(reason), ["r1"])
    assert (line["unanswered"], line["undelivered_bytes"]) == ({"passed-on": 1}, 7)
