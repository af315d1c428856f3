"""Slot time by result of the caller's request, from the lines of several nodes."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.log_reports import (
    RequestResult,
    SlotTimeCounter,
    measure_slot_time,
)
from rattanfork_core.log_reports.sampled_roots import SampledRoots
from rattanfork_core.trace import LogLine, LogSampler, parse_lines
from rattanfork_core.trace.log_sampler import SAMPLE_RATE, is_sampled

SAMPLED = [f"r{n}" for n in range(8000) if is_sampled(f"r{n}")]
OUTSIDE = [f"r{n}" for n in range(8000) if not is_sampled(f"r{n}")]


def request(request_id: str, instance: str = "n1", **fields: object) -> LogLine:
    defaults = {"route": "a", "service": "s", "outcome": "answered", "status": 200}
    defaults |= {"reason": "none", "ms": 50.0, "objective_ms": 100.0, "call": False}
    defaults |= {"tries": [{"ms": 40.0}]}
    return LogLine(7.5, instance, "request", request_id, defaults | fields)


def run(request_id: str, at: float = 7.5, instance: str = "n2", **fields) -> LogLine:
    defaults = {"operation": "a/s", "outcome": "answered", "status": 200}
    defaults |= {"reason": "none", "queued_ms": 0.0, "run_ms": 100.0}
    return LogLine(at, instance, "run", request_id, defaults | fields)


def counted(instance: str = "n2", **left_out: object) -> LogLine:
    return LogLine(9.0, instance, "counted", "", {"lines_left_out": left_out})


def seconds_of(*lines: LogLine) -> dict[str, float]:
    [service] = measure_slot_time(lines, span=1).services
    return {result: s for result, s in service.seconds.items() if s}


@pytest.mark.parametrize(
    ("fields", "result"),
    [
        ({}, "in-time"),
        ({"ms": 100.0}, "in-time"),
        ({"objective_ms": None, "ms": 9e9}, "in-time"),
        ({"ms": 100.1}, "late"),
        ({"status": 500, "reason": "upstream-failed"}, "failed"),
        ({"status": 404}, "failed"),
        ({"outcome": "unknown", "status": 504, "reason": "deadline"}, "failed"),
        ({"outcome": "unknown", "status": 200, "reason": "connection"}, "failed"),
        ({"outcome": "not-run", "status": 503, "reason": "shed"}, "refused"),
    ],
)
def test_slot_time_counts_for_the_result_of_the_callers_request(fields, result):
    """Guards against a run that succeeded being taken for a useful one."""
    root = SAMPLED[0]
    lines = [run(f"{root}.1.2"), run(f"{root}.3"), request(root, **fields)]
    assert seconds_of(*lines) == pytest.approx({result: 3.2})


def test_request_line_of_a_call_does_not_give_the_result():
    """A call that failed and was repeated does not make its caller's request fail."""
    root = SAMPLED[0]
    call = request(f"{root}.1", status=503, outcome="not-run", call=True)
    assert list(seconds_of(run(f"{root}.1"), call, request(root))) == ["in-time"]


def test_run_without_request_line_is_unknown():
    assert list(seconds_of(run(f"{SAMPLED[0]}.1"))) == ["unknown"]


def test_requests_outside_the_sample_add_no_slot_time():
    """Their successful runs may have no line, so their slot time is incomplete."""
    lines = [run(OUTSIDE[0]), request(OUTSIDE[0], status=500)]
    report = measure_slot_time(lines, span=1)
    assert (report.slots, report.services, report.sampled_runs) == ([], [], 0)
    assert [(r.result, r.lines, r.sampled) for r in report.routes] == [("failed", 1, 0)]


def test_refused_run_takes_no_slot_time_but_counts_as_queued():
    line = run(SAMPLED[0], outcome="not-run", reason="shed", status=0, run_ms=None)
    line.fields["queued_ms"] = 80.0
    report = measure_slot_time([line], span=1)
    [service] = report.services
    assert (report.slots, service.useful_share, service.useful_bounds) == (
        [],
        None,
        None,
    )
    assert service.queued_p95_ms == pytest.approx(80.0, rel=0.02)
    [bad] = report.bad_runs
    assert (bad.service, bad.outcome, bad.reason, bad.lines) == (
        "s",
        "not-run",
        "shed",
        1,
    )


def test_slot_time_is_given_by_service_and_interval():
    lines = [
        run(SAMPLED[0], at=7.9),
        run(f"{SAMPLED[0]}.1", at=8.0, operation="deep/route/t"),
        run(SAMPLED[1], at=8.1, run_ms=300.0),
        request(SAMPLED[0]),
        request(SAMPLED[1], ms=200.0),
    ]
    report = measure_slot_time(lines, span=1)
    found = [(s.begins, s.service, s.useful_share) for s in report.slots]
    assert found == [(7.0, "s", 1.0), (8.0, "s", 0.0), (8.0, "t", 1.0)]
    shares = {s.service: s.useful_share for s in report.services}
    assert shares == {"s": pytest.approx(0.25), "t": 1.0}
    assert (report.sampled_requests, report.sampled_runs) == (2, 3)


def test_percentiles_of_queued_time():
    lines = [run(SAMPLED[n], queued_ms=float(n)) for n in range(101)]
    [service] = measure_slot_time(lines, span=1).services
    assert service.queued_median_ms == pytest.approx(50, rel=0.02)
    assert service.queued_p95_ms == pytest.approx(95, rel=0.02)


def test_useful_share_agrees_with_all_requests_on_a_sampled_log():
    """Lines pass the sampler of a node, as under load; a third of requests is late."""
    clock = ManualClock()
    sampler = LogSampler(clock)
    lines = []
    for number in range(8000):
        clock.advance(0.002)
        root, ms = f"q{number}", 200.0 if number % 3 == 0 else 50.0
        if sampler.should_write(root.encode(), plain=True):
            lines.append(run(f"{root}", run_ms=10.0 + number % 7))
        if sampler.should_write(root.encode(), plain=ms < 100):
            lines.append(request(root, instance="n2", ms=ms))
    lines.append(counted(**sampler.take_omitted()))
    [service] = measure_slot_time(lines, span=1).services
    assert service.useful_share == pytest.approx(2 / 3, abs=0.06)
    low, high = service.useful_bounds
    assert low <= 2 / 3 <= high


def test_nothing_is_missing_without_omitted_lines():
    report = measure_slot_time([run(SAMPLED[0]), request(SAMPLED[0]), counted()], 1)
    assert (report.missing.sampled, report.missing.left_out) == (0, {})
    assert report.services[0].useful_bounds == (1.0, 1.0)


def test_used_up_budget_widens_the_bounds():
    """All plain lines of a node are left out for a while, sampled ones as well."""
    written = [run(root) for root in SAMPLED[:10]]
    requests = [request(root) for root in SAMPLED[:10]]
    report = measure_slot_time([*written, *requests, counted(plain=1590)], span=1)
    # 1/16 of 1,600 lines is 100, of which 10 were written.
    assert 90 <= report.missing.sampled <= 120
    [service] = report.services
    assert service.missing_seconds == pytest.approx(report.missing.sampled * 1.6)
    assert service.useful_bounds == (pytest.approx(0.09, abs=0.02), 1.0)


def test_sampling_alone_hardly_widens_the_bounds():
    """Lines outside the sample are left out by design, and are not missed."""
    lines = [run(root) for root in SAMPLED[:400]]
    lines += [request(root) for root in SAMPLED[:400]]
    report = measure_slot_time([*lines, counted(plain=6000)], span=1)
    assert report.missing.sampled <= 2 * 20
    assert report.services[0].useful_bounds[0] > 0.9


def test_unread_lines_count_from_the_start_of_the_process():
    """Guards against adding up a counter that is not reset between lines."""
    lines = [counted(unread=5), counted(unread=8), counted(unread=2)]
    report = measure_slot_time(lines, span=1)
    assert report.missing.left_out == {"unread": 10}
    assert (report.missing.sampled, report.missing.unplaced) == (10, 10)


def test_biased_sample_is_shown_by_the_lost_requests_in_it():
    """Gates shed by the hash that also samples: the sampled requests go last."""
    lines = [request(root, outcome="not-run", status=503) for root in OUTSIDE[:160]]
    lines += [request(root) for root in SAMPLED[:10]]
    assert measure_slot_time(lines, span=1).lost_lines == (160, 0, 10.0)


def test_memory_is_bounded_and_the_estimate_keeps_its_scale():
    """Guards against a log of a day that does not fit in memory."""
    roots = SampledRoots(max_entries=200)
    counter = SlotTimeCounter(span=1, roots=roots)
    for root in SAMPLED:
        counter.add(run(root))
        counter.add(request(root))
        assert len(roots) <= 100
    report = counter.report()
    assert report.sampled_fraction < SAMPLE_RATE / 2
    assert report.sampled_requests == report.sampled_runs == len(roots)
    total = len(SAMPLED) / SAMPLE_RATE * 0.1
    assert report.services[0].seconds["in-time"] == pytest.approx(total, rel=0.5)


@pytest.mark.parametrize(
    "line",
    [
        run(SAMPLED[0], run_ms="x"),
        run(SAMPLED[0], run_ms=-1.0),
        run(SAMPLED[0], queued_ms=float("nan")),
        run(SAMPLED[0], at=float("inf")),
        run(SAMPLED[0], status=None),
        run(""),
        request(SAMPLED[0], ms=[1]),
        request(SAMPLED[0], objective_ms="soon"),
        counted(plain="many"),
        LogLine(1.0, "n1", "counted", "", {"lines_left_out": [1]}),
    ],
)
def test_malformed_line_is_counted_and_changes_nothing_else(line):
    lines = [run(SAMPLED[1]), request(SAMPLED[1])]
    report = measure_slot_time([*lines, line], span=1)
    assert (report.malformed, report.lines) == (1, 3)
    assert report.services == measure_slot_time(lines, span=1).services


def test_lines_with_time_and_node_in_front_are_read():
    record = {"timestamp": 7.5, "message_type": "rattanfork:run", "instance": "n2"}
    record |= {"id": SAMPLED[0], "operation": "a/s", "run_ms": 10.0, "queued_ms": 0}
    text = f"  12.345678 claims-1 {json.dumps(record)}\n"
    report = measure_slot_time(parse_lines([text, "12.3 claims-1 not a line\n"]), 1)
    assert report.sampled_runs == 1


@pytest.mark.parametrize("span", [0, -1, float("nan"), float("inf")])
def test_span_that_is_not_above_zero_is_refused(span):
    with pytest.raises(ValueError, match="above 0"):
        measure_slot_time([], span)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(SAMPLED[:20] + OUTSIDE[:20]),
            st.floats(0, 1000),
            st.sampled_from([200, 500, 503]),
        )
    ),
    st.randoms(use_true_random=False),
)
def test_report_does_not_depend_on_the_order_of_lines(entries, random):
    lines = [run(f"{root}.1", run_ms=ms) for root, ms, _ in entries]
    lines += [request(root, status=status) for root, _, status in entries]
    first = measure_slot_time(lines, span=1)
    random.shuffle(lines)
    second = measure_slot_time(lines, span=1)
    assert (first.routes, first.bad_runs) == (second.routes, second.bad_runs)
    for one, other in zip(first.services, second.services, strict=True):
        assert one.seconds == pytest.approx(other.seconds)
    total = sum(ms for root, ms, _ in entries if is_sampled(root)) / 1000 * 16
    found = sum(sum(s.seconds.values()) for s in first.services)
    assert found == pytest.approx(total)
    assert RequestResult.UNKNOWN not in [r.result for r in first.routes]
