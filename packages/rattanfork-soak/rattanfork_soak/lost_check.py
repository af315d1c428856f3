"""Finds requests that were accepted and lost around planned work."""

from enum import StrEnum

from rattanfork_soak.exchange_record import ExchangeRecord, PlannedWork, WorkerRun

#: Time after the end of the grace period that belongs to the stop.
_AFTER_GRACE_S = 1.0
#: Share of the grace period at whose end a worker may still be at work.
_LAST_SHARE = 1 / 6
#: Latest time after SIGTERM at which a request is sent whose worker may be so.
_SENT_WITHIN_S = 3.0
#: Time from the last byte of a request within which it crosses the node's close.
_CROSSING_S = 0.2
#: Time for which a worker sees the effect of a reload.
_RELOAD_S = 2.0
#: Error of a record whose connection stayed open without a response.
SILENT = "silent"
#: Statuses that promise that the request did not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Verdict(StrEnum):
    """What became of a request."""

    ANSWERED = "answered by its worker"
    REFUSED = "refused without having run"
    UNOFFERED = "failed without having run"
    #: No rule on lost requests covers these.
    FAILED = "ran and got a response of a node that was not stopped"
    #: Excused.
    SENT_IN_PART = "not sent whole"
    LEFT = "client left"
    BROKEN_OFF = "worker broke off"
    EXPIRED = "deadline or timeout reached"
    LAST_SHARE = "worker at work near the end of the grace period"
    BEHIND = "behind another and not passed on"
    CROSSED = "crossed a close and not passed on"
    #: Violations.
    CLOSED = "ran and got no complete response"
    KEPT = "read and closed later without a response"
    REPLACED = "ran and got a response of the stopped node's own"
    FALSE_REFUSAL = "ran and was refused as not run"
    TWICE = "ran twice though it may run once"
    MIXED = "response is not the worker's"
    SILENT = "got no response in time on an open connection"

    @property
    def is_violation(self) -> bool:
        """Whether no rule excuses it."""
        return self in _VIOLATIONS


_VIOLATIONS = frozenset(
    (
        Verdict.CLOSED,
        Verdict.KEPT,
        Verdict.REPLACED,
        Verdict.FALSE_REFUSAL,
        Verdict.TWICE,
        Verdict.MIXED,
        Verdict.SILENT,
    )
)


def judge(
    record: ExchangeRecord, runs: list[WorkerRun], work: PlannedWork
) -> Verdict | None:
    """Return what became of a request; None if it has not ended.

    Explanation
    ===========

    A request whose connection ends is lost at any time, not only around the work that
    is planned for its node.  Excused is only

    - a worker that broke off all runs of the request,
    - a deadline of the client or a timeout of the route that was reached,
    - a worker that was still at work in the last sixth of the grace period on a request
      that was sent no later than 3 s after SIGTERM,
    - a request behind another one on its connection that was not passed on,
    - a request that was not passed on and whose connection ended within 0.2 s of its
      last byte,
    - a request that was not sent whole, or whose client ended the connection.

    Parameters
    ==========

    record : ExchangeRecord
        The request as its client saw it.
    runs : list of WorkerRun
        Its runs at workers.
    work : PlannedWork
        Signals of the node that the request was sent to.
    """
    if record.ended is None:
        return None
    if record.status and record.stamped:
        return Verdict.ANSWERED if record.whole else Verdict.MIXED
    if record.status:
        return _judge_own_response(record, runs, work)
    if record.sent is None:
        return Verdict.SENT_IN_PART
    if record.left:
        return Verdict.LEFT
    if record.error == SILENT:
        return Verdict.SILENT
    if runs:
        return _excuse(record, runs, work) or Verdict.CLOSED
    if record.behind:
        return Verdict.BEHIND
    if record.ended - record.sent <= _CROSSING_S:
        return Verdict.CROSSED
    return _excuse(record, runs, work) or Verdict.KEPT


def _judge_own_response(
    record: ExchangeRecord, runs: list[WorkerRun], work: PlannedWork
) -> Verdict:
    if not runs:
        is_refusal = record.status < 500 or record.status in _NOT_RUN_STATUSES
        return Verdict.REFUSED if is_refusal else Verdict.UNOFFERED
    if record.status in _NOT_RUN_STATUSES and not record.idempotent:
        return Verdict.FALSE_REFUSAL
    excuse = _excuse(record, runs, work)
    if excuse is not None:
        return excuse
    return Verdict.REPLACED if _is_stopping(record, work) else Verdict.FAILED


def _is_stopping(record: ExchangeRecord, work: PlannedWork) -> bool:
    """Return whether a request ended after SIGTERM, up to the end of that stop."""
    ends = work.grace + _AFTER_GRACE_S
    return any(at <= record.ended <= at + ends for at in work.stops)


def _excuse(
    record: ExchangeRecord, runs: list[WorkerRun], work: PlannedWork
) -> Verdict | None:
    if runs and all(run.broke_off for run in runs):
        return Verdict.BROKEN_OFF
    if record.ended - record.began >= record.limit:
        return Verdict.EXPIRED
    for stopped_at in work.stops:
        last_from = stopped_at + work.grace * (1 - _LAST_SHARE)
        if (
            stopped_at <= record.ended <= stopped_at + work.grace + _AFTER_GRACE_S
            and record.sent is not None
            and record.sent <= stopped_at + _SENT_WITHIN_S
            and record.ended >= last_from
            and any(
                run.began <= record.ended and (run.ended or record.ended) >= last_from
                for run in runs
            )
        ):
            return Verdict.LAST_SHARE
    return None


def phase(record: ExchangeRecord, work: PlannedWork) -> str:
    """Return which planned work of its node a request met, for reports."""
    for name, times, seconds in (
        ("stalled stop", work.stalled_stops, work.grace + _AFTER_GRACE_S),
        ("stop", work.stops, work.grace + _AFTER_GRACE_S),
        ("reload", work.reloads, _RELOAD_S),
    ):
        for at in times:
            if record.began <= at + seconds and (record.ended or at) >= at:
                return f"{name} at {at:.3f}"
    return "no signal"
