"""The check of lost requests excuses what the rules excuse, and nothing else."""

import pytest
from rattanfork_soak.exchange_record import ExchangeRecord, PlannedWork, WorkerRun
from rattanfork_soak.lost_check import SILENT, Verdict, judge

_STOPPED_AT = 10.0


def unanswered(sent=11.0, ended=11.1, **more) -> ExchangeRecord:
    """Return a request whose connection ended without a complete response."""
    record = ExchangeRecord("r1", "n0", "test", True, 200, limit=10.0)
    record.began, record.sent, record.ended = sent, sent, ended
    for name, value in more.items():
        setattr(record, name, value)
    return record


def ran(began=11.0, ended=11.05, broke_off=False) -> list[WorkerRun]:
    return [WorkerRun("i0-1", began, ended, broke_off)]


def verdict(record, runs=(), stops=(_STOPPED_AT,)) -> Verdict:
    return judge(record, list(runs), PlannedWork(stops=list(stops)))


@pytest.mark.parametrize("stops", [(), (_STOPPED_AT,)])
def test_request_that_ran_and_got_no_response_is_lost(stops):
    assert verdict(unanswered(), ran(), stops) is Verdict.CLOSED
    assert verdict(unanswered(behind=True), ran(), stops) is Verdict.CLOSED


@pytest.mark.parametrize("stops", [(), (_STOPPED_AT,)])
def test_request_that_was_not_passed_on_is_lost_0_2_s_after_its_last_byte(stops):
    assert verdict(unanswered(ended=11.19), (), stops) is Verdict.CROSSED
    assert verdict(unanswered(ended=11.21), (), stops) is Verdict.KEPT


def test_request_behind_another_is_excused_only_if_it_was_not_passed_on():
    assert verdict(unanswered(ended=12.0, behind=True)) is Verdict.BEHIND
    assert verdict(unanswered(ended=12.0, behind=True), ran()) is Verdict.CLOSED


def test_own_response_in_place_of_a_run_is_lost_after_a_stop():
    record = unanswered(status=502)
    assert verdict(record, ran()) is Verdict.REPLACED
    assert verdict(record, ran(), stops=()) is Verdict.FAILED
    assert verdict(record, ran(), stops=(_STOPPED_AT - 8.0,)) is Verdict.FAILED
    assert verdict(record) is Verdict.UNOFFERED


def test_own_response_to_an_upload_that_its_worker_was_reading_is_lost():
    assert verdict(unanswered(status=502, sent=None, began=11.0), ran()) is (
        Verdict.REPLACED
    )


def test_refusal_of_a_request_that_ran_is_reported():
    record = unanswered(status=503, idempotent=False)
    assert verdict(record, ran()) is Verdict.FALSE_REFUSAL
    assert verdict(record) is Verdict.REFUSED


def test_run_that_its_worker_broke_off_is_excused_unless_another_was_sound():
    broken = ran(broke_off=True)
    assert verdict(unanswered(), broken) is Verdict.BROKEN_OFF
    assert verdict(unanswered(), broken + ran()) is Verdict.CLOSED


def test_reached_deadline_is_excused():
    assert verdict(unanswered(ended=21.0), ran()) is Verdict.EXPIRED
    assert verdict(unanswered(ended=20.9), ran()) is Verdict.CLOSED


@pytest.mark.parametrize(
    ("sent", "ended", "run", "expected"),
    [
        (12.9, 15.6, ran(13.0, None), Verdict.LAST_SHARE),
        (12.9, 15.6, ran(13.0, 15.1), Verdict.LAST_SHARE),
        # The worker was done before the last sixth of the grace period.
        (12.9, 15.6, ran(13.0, 14.9), Verdict.CLOSED),
        # Ended before the last sixth.
        (12.9, 14.9, ran(13.0, None), Verdict.CLOSED),
        # Sent later than 3 s after SIGTERM.
        (13.1, 15.6, ran(13.2, None), Verdict.CLOSED),
        # Not passed on.
        (12.9, 15.6, [], Verdict.KEPT),
    ],
)
def test_worker_at_work_near_the_end_of_the_grace_period(sent, ended, run, expected):
    assert verdict(unanswered(sent, ended), run) is expected


def test_partial_requests_and_those_that_their_clients_left_are_not_lost():
    assert verdict(unanswered(sent=None, began=11.0), ran()) is Verdict.SENT_IN_PART
    assert verdict(unanswered(left=True), ran()) is Verdict.LEFT


def test_response_of_another_request_is_reported():
    complete = unanswered(status=200, stamped=True)
    assert verdict(complete, ran()) is Verdict.ANSWERED
    complete.whole = False
    assert verdict(complete, ran()) is Verdict.MIXED


def test_silent_connection_is_reported():
    assert verdict(unanswered(ended=24.0, error=SILENT)) is Verdict.SILENT
