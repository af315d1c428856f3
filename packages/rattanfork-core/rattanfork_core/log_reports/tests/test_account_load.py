"""Requests and slot time of client accounts, from the lines of several nodes."""

import pytest
from rattanfork_core.clock import ManualClock
from rattanfork_core.log_reports import measure_account_load
from rattanfork_core.log_reports.account_load import NO_ACCOUNT, UNKNOWN_ACCOUNT
from rattanfork_core.request import request_tiebreak
from rattanfork_core.trace import LogLine, LogSampler
from rattanfork_core.trace.log_sampler import is_sampled

SAMPLED = [f"r{n}" for n in range(2000) if is_sampled(f"r{n}")]
OUTSIDE = [f"r{n}" for n in range(2000) if not is_sampled(f"r{n}")]


def request(request_id: str, account: str = "a", at: float = 7.5, **fields) -> LogLine:
    defaults = {"route": "x", "outcome": "answered", "status": 200, "ms": 50.0}
    defaults |= {"objective_ms": 100.0, "tries": [{}], "account": account}
    return LogLine(at, "n1", "request", request_id, defaults | fields)


def run(request_id: str, run_ms: float, service: str = "s", at: float = 7.5) -> LogLine:
    fields = {"operation": f"x/{service}", "outcome": "answered", "status": 200}
    return LogLine(at, "n2", "run", request_id, fields | {"run_ms": run_ms})


def counted(**left_out: int) -> LogLine:
    return LogLine(9.0, "n1", "counted", "", {"lines_left_out": left_out})


def test_results_are_counted_by_account():
    lines = [
        request(OUTSIDE[0]),
        request(OUTSIDE[1], ms=200.0),
        request(OUTSIDE[2], status=500),
        request(OUTSIDE[3], status=503, outcome="not-run"),
        request(OUTSIDE[4], account=""),
        request(f"{OUTSIDE[0]}.1", account="", call=True),
        counted(),
    ]
    report = measure_account_load(lines, span=1)
    assert report.exact
    none, a = report.accounts
    assert (none.account, none.sent) == (NO_ACCOUNT, 1)
    assert (a.sent, a.in_time, a.late, a.failed, a.refused) == (4, 1, 1, 1, 1)


def test_slot_shares_are_those_of_the_accounts_runs():
    lines = [
        run(SAMPLED[0], 10.0),
        run(f"{SAMPLED[0]}.1", 5.0, service="t"),
        run(SAMPLED[1], 30.0),
        run(SAMPLED[2], 40.0),
        run(OUTSIDE[0], 900.0),
        request(SAMPLED[0], account="a"),
        request(SAMPLED[1], account="b"),
    ]
    report = measure_account_load(lines, span=1)
    shares = {load.account: load.slot_shares for load in report.accounts}
    assert shares == {
        UNKNOWN_ACCOUNT: {"s": 0.5},
        "a": {"s": 0.125, "t": 1.0},
        "b": {"s": 0.375},
    }
    assert report.slot_seconds == pytest.approx({"s": 1.28, "t": 0.08})


def test_intervals_show_when_an_account_sends_more():
    lines = [request(root, at=7.0) for root in OUTSIDE[:3]]
    lines += [request(root, at=12.0) for root in OUTSIDE[3:20]]
    lines.append(run(SAMPLED[0], 10.0, at=8.0))
    report = measure_account_load([*lines, counted()], span=5)
    found = [(i.begins, i.load.account, i.load.sent) for i in report.intervals]
    assert found == [(5.0, UNKNOWN_ACCOUNT, 0), (5.0, "a", 3), (10.0, "a", 17)]
    assert report.intervals[0].load.slot_shares == {"s": 1.0}


def test_estimate_of_a_sampled_log_is_not_biased_by_shedding():
    """Gates shed by the hash that also samples the lines of successful requests.

    All sampled requests are in time, so sixteen times their number is about 8,000,
    but only 40% of the requests are in time.
    """
    clock = ManualClock()
    sampler = LogSampler(clock, rate=3400, burst=300)
    lines, in_time = [], 0
    for number in range(8000):
        clock.advance(0.0002)
        root = f"q{number}"
        plain = request_tiebreak(root) < 0.4
        in_time += plain
        fields = {} if plain else {"status": 503, "outcome": "not-run"}
        if sampler.should_write(root.encode(), plain):
            lines.append(request(root, **fields))
    omitted = sampler.take_omitted()
    assert list(omitted) == ["plain"]
    report = measure_account_load([*lines, counted(**omitted)], span=1)
    [load] = report.accounts
    assert not report.exact
    assert load.sent == pytest.approx(8000, rel=0.1)
    assert load.refused == 8000 - in_time
    assert load.in_time == pytest.approx(in_time, abs=800)


def test_lines_that_a_used_up_budget_left_out_are_bounded():
    """Without this, an estimate of requests that is too low would look exact."""
    lines = [request(root) for root in SAMPLED[:10]]
    report = measure_account_load([*lines, counted(plain=1590)], span=1)
    assert report.accounts[0].sent == 160
    assert 90 <= report.missing.sampled <= 120


def test_fewer_requests_than_lines_are_never_estimated():
    report = measure_account_load([request(r) for r in OUTSIDE[:9]], span=1)
    assert (report.exact, report.accounts[0].sent) == (False, 9)


def test_malformed_lines_are_counted():
    lines = [request(SAMPLED[0], ms="x"), run("", 1.0), request(SAMPLED[0])]
    report = measure_account_load(lines, span=1)
    assert (report.malformed, report.lines, len(report.accounts)) == (2, 3, 1)


def test_span_of_zero_is_refused():
    with pytest.raises(ValueError, match="above 0"):
        measure_account_load([], span=0)
