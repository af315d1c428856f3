"""Tests of log writing and metrics rendering."""

import json
import os

from rattanfork_core.clock import ManualClock
from rattanfork_core.objectives import RouteObjectives
from rattanfork_core.trace import LogSampler
from rattanfork_node.app.metrics_handler import MetricsHandler
from rattanfork_node.http1.exchange import Exchange
from rattanfork_node.telemetry import Counters, LineWriter, RequestLog
from rattanfork_node.telemetry.durations import BOUNDS, DurationBuckets


def test_writer_does_not_block_when_reader_stops():
    """Guards against a hanging log collector that blocks the node by a full pipe.

    Each write returns at once; the buffer is bounded and dropped lines are counted.
    """
    reader, writer_end = os.pipe()
    try:
        writer = LineWriter(writer_end)
        for number in range(5000):
            writer.write({"n": number, "text": "x" * 200})
            writer.flush()
        assert writer.dropped > 0
        lines_read = os.read(reader, 1 << 16).split(b"\n")
        assert json.loads(lines_read[0])["n"] == 0
    finally:
        os.close(reader)
        os.close(writer_end)


def test_buffered_lines_are_written_whole_when_reader_resumes():
    reader, writer_end = os.pipe()
    try:
        writer = LineWriter(writer_end)
        for number in range(400):
            writer.write({"n": number, "text": "x" * 300})
        writer.flush()
        data = b""
        while len(data) < 400 * 300:
            data += os.read(reader, 1 << 16)
            writer.flush()
        numbers = [json.loads(line)["n"] for line in data.splitlines()]
        assert numbers == list(range(400))
        assert writer.dropped == 0
    finally:
        os.close(reader)
        os.close(writer_end)


def test_closed_pipe_drops_lines_without_error():
    reader, writer_end = os.pipe()
    os.close(reader)
    writer = LineWriter(writer_end)
    writer.write_now({"a": 1})
    assert writer.dropped == 1
    os.close(writer_end)


def test_lines_over_budget_are_counted_as_left_out():
    clock = ManualClock()
    log = RequestLog(LineWriter(None), LogSampler(clock, 1, 4), "n1", clock.now)
    allowed = [log.should_log(b"r", plain=False) for _ in range(6)]
    assert allowed == [True] * 4 + [False] * 2
    assert log.take_left_out() == {"trouble": 2}


def test_durations_of_excess_labels_are_counted_together():
    durations = DurationBuckets()
    for number in range(1000):
        durations.add((f"route-{number}", "answered"), 0.03)
    assert len(durations.totals()) <= 201
    assert sum(count for _, count, _ in durations.totals()) == 1000
    bounds = durations.cumulative(("route-0", "answered"))
    assert bounds[-1] == ("+Inf", 1)
    assert len(bounds) == len(BOUNDS) + 1


class FakeClientConnection:
    def flush_responses(self) -> None:
        pass


def get(handler: MetricsHandler, target: bytes):
    exchange = Exchange(
        FakeClientConnection(), b"GET", target, "h", b"", b"", b"", None, True
    )
    handler.on_request(exchange)
    return exchange.output


def test_metrics_are_served_in_prometheus_text_format():
    counters = Counters()
    counters.requests["answered", "a", "none"] += 3
    counters.store["rows-get", "200"] += 2
    counters.durations.add(("a", "answered"), 0.02)
    objectives = RouteObjectives(ManualClock(9.0))
    objectives.add("a", good=False)
    objectives.flush()
    status, block, body = get(
        MetricsHandler(counters, lambda: {"waiting": 4}, objectives), b"/metrics"
    )
    assert status == 200
    assert b"Content-Type: text/plain" in block
    lines = body.decode().splitlines()
    labels = 'outcome="answered",reason="none",route="a"'
    assert f"rattanfork_requests_total{{{labels}}} 3.0" in lines
    assert 'rattanfork_store_calls_total{call="rows-get",result="200"} 2.0' in lines
    assert "rattanfork_waiting 4.0" in lines
    labels = 'result="bad",route="a",window="300"'
    assert f"rattanfork_objective_requests{{{labels}}} 1.0" in lines
    bucket = 'http_server_request_duration_seconds_bucket{le="0.025"'
    assert any(line.startswith(bucket) and line.endswith(" 1.0") for line in lines)
    assert get(MetricsHandler(counters, dict, objectives), b"/")[0] == 404
