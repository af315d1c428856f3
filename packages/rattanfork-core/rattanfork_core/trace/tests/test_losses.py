"""Causes of lost requests, from the log lines of several nodes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.trace import LogLine, count_losses


def request(request_id="r", **fields) -> LogLine:
    defaults = {"route": "a", "service": "s", "status": 200, "ms": 10.0}
    defaults |= {"objective_ms": 100.0, "call": False, "reason": "none", "tries": []}
    return LogLine(7.5, "n1", "request", request_id, defaults | fields)


def run(request_id="r", **fields) -> LogLine:
    defaults = {"operation": "a/s", "queued_ms": 0.0, "run_ms": 8.0, "failed_calls": 0}
    return LogLine(7.5, "n2", "run", request_id, defaults | fields)


def only(*lines: LogLine) -> tuple[str, str]:
    [loss] = count_losses(lines, span=1).losses
    assert (loss.begins, loss.route, loss.count) == (7.0, "a", 1)
    return loss.cause, loss.place


def test_successful_response_in_time_is_not_a_loss():
    report = count_losses([request(), run()], span=1)
    assert (report.losses, report.lost, report.late) == ([], 0, {})


def test_failed_downstream_call_is_not_a_loss():
    assert count_losses([request("r.1", status=502, call=True)], span=1).lost == 0


def test_early_shedding_is_attributed_to_lowest_threshold():
    thresholds = {"n2": [2.5, 0.1], "n3": [1.5, 0.4]}
    line = request(status=503, reason="shed-early", thresholds=thresholds)
    assert only(line) == ("shed-early", "n3")


def test_failed_run_is_attributed_to_deepest_failed_call():
    """The upstream responds 500 because a downstream call failed.

    That call failed because one of its own calls was refused.
    """
    lines = (
        request(status=500),
        run(failed_calls=1),
        request("r.1", status=200, service="fine", call=True),
        request("r.2", status=500, service="middle", call=True),
        request("r.2.1", status=503, service="deep", call=True),
    )
    assert only(*lines) == ("call-failed", "deep")


def test_upstream_failure_is_attributed_to_its_service():
    line = request(status=500, reason="upstream-failed")
    assert only(line, run()) == ("upstream-failed", "s")


def test_late_response_is_attributed_to_largest_latency_component():
    lines = (
        request(ms=200.0, tries=[{"ms": 20.0}, {"ms": 170.0}]),
        run(queued_ms=10.0, run_ms=150.0),
        request("r.1", ms=90.0, call=True),
        request("r.2", ms=30.0, call=True),
    )
    assert only(*lines) == ("late", "calls")
    parts = count_losses(lines, span=1).late["a"]
    assert parts == pytest.approx(
        {
            "first-node": 0.01,
            "earlier-attempts": 0.02,
            "crossing": 0.01,
            "gate": 0.01,
            "run": 0.03,
            "calls": 0.12,
        }
    )


def test_omitted_lines_are_summed():
    counted = LogLine(1.0, "n1", "counted", "", {"lines_left_out": {"trouble": 3}})
    assert count_losses([counted, counted], span=1).left_out == {"trouble": 6}


def test_counters_add_up_over_process_restarts():
    """A counter reaches 5, its node is restarted, and it reaches 2."""

    def counted(instance: str, count: int) -> LogLine:
        return LogLine(1.0, instance, "counted", "", {"losses": {"a/late": count}})

    lines = [counted("n1", 3), counted("n2", 1), counted("n1", 5), counted("n1", 2)]
    assert count_losses(lines, span=1).counted == {"a/late": 8}


def test_span_of_zero_is_refused():
    with pytest.raises(ValueError, match="above 0"):
        count_losses([], span=0)


@given(
    st.lists(
        st.builds(
            request,
            st.sampled_from(["a", "b", "a.1"]),
            status=st.sampled_from([0, 200, 500, 502, 503, 504]),
            ms=st.floats(0, 500),
            call=st.booleans(),
            tries=st.lists(st.fixed_dictionaries({"ms": st.floats(0, 500)})),
        )
    )
)
def test_losses_add_up_to_all_unsuccessful_requests(lines):
    report = count_losses(lines, span=0.5)
    successful = [
        line
        for line in lines
        if not line.get("call") and line.get("status") == 200 and line.get("ms") <= 100
    ]
    callers = [line for line in lines if not line.get("call")]
    assert sum(loss.count for loss in report.losses) == len(callers) - len(successful)
    assert report.lost == len(callers) - len(successful)
