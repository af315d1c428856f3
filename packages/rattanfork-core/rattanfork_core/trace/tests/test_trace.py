"""Lines about requests: bounded, and enough to find a cause."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.trace import (
    LogLine,
    LogSampler,
    count_reasons,
    parse_line,
    parse_lines,
    trace_request,
)


def test_a_tenfold_surge_writes_no_more_lines_than_the_budget():
    """Requests come ten times as fast as lines may be written, half of them fail.

    Lines stay within rate and burst; those left out are all counted.
    """
    clock = ManualClock()
    budget = LogSampler(clock, rate=100, burst=200)
    written = left_out = 0
    for i in range(10_000):
        clock.advance(0.001)
        written += budget.should_write(b"r%d" % i, plain=i % 2 == 0)
    left_out = sum(budget.take_omitted().values())
    assert written <= 200 + 100 * 10
    assert written + left_out == 10_000


def test_what_failed_is_written_while_what_went_well_is_left_out():
    """Many plain requests come first and would spend the whole budget.

    Those that fail afterwards are the ones somebody will ask about.
    """
    budget = LogSampler(ManualClock(), rate=1, burst=400)
    for i in range(5000):
        budget.should_write(b"r%d" % i, plain=True)
    assert all(budget.should_write(b"f%d" % i, plain=False) for i in range(50))


def test_under_load_nodes_keep_the_same_requests_with_their_calls():
    """Two nodes sample under load; a story needs the lines of both."""
    kept = []
    for name in (b"", b".1f", b".1f.2a"):
        budget = LogSampler(ManualClock(), rate=1, burst=1000)
        for _ in range(500):
            budget.should_write(b"warm", plain=False)
        ids = [b"r%d" % i for i in range(300)]
        kept.append([i for i in ids if budget.should_write(i + name, plain=True)])
    assert kept[0]
    assert kept[0] == kept[1] == kept[2]


@given(st.text() | st.binary().map(lambda b: b.decode("latin-1")))
def test_no_text_stops_the_reader(text):
    assert list(parse_lines([text])) == [] or parse_line(text) is not None


@given(
    st.dictionaries(
        st.sampled_from(["timestamp", "message_type", "id", "instance", "tries"]),
        st.none() | st.integers() | st.text() | st.lists(st.integers()),
    )
)
def test_a_record_with_odd_fields_is_read_or_passed_over(record):
    line = parse_line(json.dumps(record))
    assert line is None or isinstance(line.request_id, str)


def test_the_story_has_the_calls_and_the_restart_of_the_node_that_was_lost():
    """A call's node is killed while it runs there; it writes no last line.

    The story shows the lost connection at the caller's node, and the start of
    the killed one right after.
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
    steps = trace_request("r", lines)
    assert [step.instance for step in steps] == ["n1", "n1", "n2"]
    assert steps[0].depth == 1
    assert "try 1 at n2@b1: connection after 40 ms" in steps[0].text
    assert steps[2].text.startswith("started")


def test_an_unknown_request_has_no_story():
    assert trace_request("x", [LogLine(1.0, "n1", "started")]) == []


def test_reasons_are_counted_by_span_and_what_was_left_out_is_summed():
    fields = {"route": "a", "outcome": "not-run", "reason": "shed-early"}
    lines = [LogLine(at, "n1", "request", "r", fields) for at in (1.0, 4.0, 6.0)]
    lines.append(LogLine(5.0, "n1", "counted", "", {"lines_left_out": {"plain": 7}}))
    counts, left_out = count_reasons(lines, span=5)
    assert [(c.begins, c.count) for c in counts] == [(0.0, 2), (5.0, 1)]
    assert left_out == {"plain": 7}


def test_a_span_must_be_above_0():
    with pytest.raises(ValueError, match="above 0"):
        count_reasons([], span=0)
