"""Request log lines: sampling, parsing, traces and counts."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.request import request_tiebreak
from rattanfork_core.trace import (
    LogLine,
    LogSampler,
    count_reasons,
    parse_line,
    parse_lines,
    trace_request,
)
from rattanfork_core.trace.log_sampler import is_sampled


def test_surge_writes_lines_within_rate_and_counts_the_omitted():
    """Requests arrive at ten times the line rate, and half of them fail."""
    clock = ManualClock()
    sampler = LogSampler(clock, rate=100, burst=200)
    written = left_out = 0
    for i in range(10_000):
        clock.advance(0.001)
        written += sampler.should_write(b"r%d" % i, plain=i % 2 == 0)
    left_out = sum(sampler.take_omitted().values())
    assert written <= 200 + 100 * 10
    assert written + left_out == 10_000


def test_failures_are_logged_after_many_successful_requests():
    """Successful requests must not use up the tokens reserved for failures."""
    sampler = LogSampler(ManualClock(), rate=1, burst=400)
    for i in range(5000):
        sampler.should_write(b"r%d" % i, plain=True)
    assert all(sampler.should_write(b"f%d" % i, plain=False) for i in range(50))


def test_nodes_sample_the_same_requests_and_their_calls():
    """A trace needs the lines of every node that the request passed."""
    sampled = []
    for name in (b"", b".1f", b".1f.2a"):
        sampler = LogSampler(ManualClock(), rate=1, burst=1000)
        for _ in range(500):
            sampler.should_write(b"warm", plain=False)
        ids = [b"r%d" % i for i in range(300)]
        sampled.append([i for i in ids if sampler.should_write(i + name, plain=True)])
    assert sampled[0]
    assert sampled[0] == sampled[1] == sampled[2]


@given(st.text() | st.binary().map(lambda b: b.decode("latin-1")))
def test_parser_accepts_or_skips_any_text(text):
    assert list(parse_lines([text])) == [] or parse_line(text) is not None


@pytest.mark.parametrize("value", ["NaN", "Infinity", '"\\ud800"', str(1 << 70)])
def test_values_outside_strict_json_lose_no_line(value):
    """The fast parser refuses some values that the standard library accepts."""
    text = f'{{"timestamp": 1.0, "message_type": "rattanfork:run", "ms": {value}}}'
    assert parse_line(text).kind == "run"


@given(
    st.dictionaries(
        st.sampled_from(["timestamp", "message_type", "id", "instance", "tries"]),
        st.none() | st.integers() | st.text() | st.lists(st.integers()),
    )
)
def test_record_with_unexpected_types_is_parsed_or_skipped(record):
    line = parse_line(json.dumps(record))
    assert line is None or isinstance(line.request_id, str)


def test_trace_includes_calls_and_restart_of_a_killed_node():
    """A node is killed while a call runs there, and writes no line about it.

    The trace must show the lost connection at the calling node, and the restart.
    """
    lines = [
        LogLine(12.0, "n2", "started", "", {"boot": "b2"}),
        LogLine(
            10.0,
            "n1",
            "request",
            "r.1",
            {
                "route": "inner",
                "outcome": "unknown",
                "reason": "connection",
                "status": 502,
                "tries": [{"to": "n2@b1", "reason": "connection", "ms": 40.0}],
            },
        ),
        LogLine(10.2, "n1", "request", "r", {"route": "a", "outcome": "answered"}),
        LogLine(10.1, "n9", "request", "r2", {"route": "a"}),
        LogLine(10.1, "n9", "started", "", {}),
    ]
    events = trace_request("r", lines)
    assert [event.instance for event in events] == ["n1", "n1", "n2"]
    assert events[0].depth == 1
    assert "try 1 at n2@b1: connection after 40 ms" in events[0].text
    assert events[2].text.startswith("started")


def test_unknown_request_has_empty_trace():
    assert trace_request("x", [LogLine(1.0, "n1", "started")]) == []


def test_reasons_are_counted_by_interval_and_omitted_lines_are_summed():
    fields = {"route": "a", "outcome": "not-run", "reason": "shed-early"}
    lines = [LogLine(at, "n1", "request", "r", fields) for at in (1.0, 4.0, 6.0)]
    lines.append(LogLine(5.0, "n1", "counted", "", {"lines_left_out": {"plain": 7}}))
    counts, left_out = count_reasons(lines, span=5)
    assert [(c.begins, c.count) for c in counts] == [(0.0, 2), (5.0, 1)]
    assert left_out == {"plain": 7}


def test_span_of_zero_is_refused():
    with pytest.raises(ValueError, match="above 0"):
        count_reasons([], span=0)


def test_sample_is_independent_of_the_shedding_order():
    """Guards against a sample that holds only the requests that are shed last."""
    roots = [f"r{number}" for number in range(16_000)]
    sample = [request_tiebreak(root) for root in roots if is_sampled(root)]
    assert 0.45 < sum(sample) / len(sample) < 0.55
