"""Lines never block, and metrics render as text."""

import json
import os

from rattanfork_core.clock import ManualClock
from rattanfork_core.objectives import RouteObjectives
from rattanfork_core.trace import LogSampler
from rattanfork_node.app.metrics_handler import MetricsHandler
from rattanfork_node.http1.exchange import Exchange
from rattanfork_node.telemetry import Counters, LineWriter, RequestLog
from rattanfork_node.telemetry.durations import BOUNDS, DurationBuckets


def test_a_reader_that_stops_costs_lines_and_not_time():
    """A log collector hangs: the pipe fills up and nobody empties it.

    Every write returns at once; what waits is bounded and the rest is counted.
    """
    reader, writer_end = os.pipe()
    try:
        writer = LineWriter(writer_end)
        for number in range(5000):
            writer.write({"n": number, "text": "x" * 200})
            writer.flush()
        assert writer.dropped > 0
        first = os.read(reader, 1 << 16).split(b"\n")
        assert json.loads(first[0])["n"] == 0
    finally:
        os.close(reader)
        os.close(writer_end)


def test_lines_that_waited_go_out_whole_when_the_reader_is_back():
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


def test_a_closed_reader_does_not_stop_the_node():
    reader, writer_end = os.pipe()
    os.close(reader)
    writer = LineWriter(writer_end)
    writer.write_now({"a": 1})
    assert writer.dropped == 1
    os.close(writer_end)


def test_lines_left_out_are_told():
    clock = ManualClock()
    log = RequestLog(LineWriter(None), LogSampler(clock, 1, 4), "n1", clock.now)
    wanted = [log.wants(b"r", plain=False) for _ in range(6)]
    assert wanted == [True] * 4 + [False] * 2
    assert log.left_out() == {"trouble": 2}


def test_buckets_add_up_and_strange_labels_do_not_grow_them():
    durations = DurationBuckets()
    for number in range(1000):
        durations.add((f"route-{number}", "answered"), 0.03)
    assert len(durations.totals()) <= 201
    assert sum(count for _, count, _ in durations.totals()) == 1000
    bounds = durations.cumulative(("route-0", "answered"))
    assert bounds[-1] == ("+Inf", 1)
    assert len(bounds) == len(BOUNDS) + 1


class Client:
    def flush_answers(self) -> None:
        pass


def ask(handler: MetricsHandler, target: bytes):
    exchange = Exchange(Client(), b"GET", target, "h", b"", b"", b"", None, True)
    handler.on_request(exchange)
    return exchange.output


def test_metrics_are_served_as_text_that_scrapers_read():
    counters = Counters()
    counters.requests["answered", "a", "none"] += 3
    counters.store["rows-get", "200"] += 2
    counters.durations.add(("a", "answered"), 0.02)
    objectives = RouteObjectives(ManualClock(9.0))
    objectives.add("a", good=False)
    objectives.flush()
    status, block, body = ask(
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
    assert ask(MetricsHandler(counters, dict, objectives), b"/")[0] == 404
