"""What a gate tells of a request that it lets go of."""

from rattanfork_core.request import CallResult, Outcome, Reason

from rattanfork_node.http1 import UpstreamAnswer
from rattanfork_node.relay.job import Job

#: Reasons for which another instance may do better.
_ELSEWHERE = frozenset(
    (
        Reason.LEAVING,
        Reason.STALE_INSTANCE,
        Reason.SHED,
        Reason.TOO_LATE,
        Reason.UPSTREAM_DOWN,
        Reason.UPSTREAM_SHED,
        Reason.NO_INSTANCE,
        Reason.NO_REPEAT,
    )
)


#: Misdirected Request: another incarnation listens at the address.
_MISDIRECTED = 421


def result_of(
    job: Job, answer: UpstreamAnswer | None, not_run_name: bytes
) -> CallResult:
    """Return the result of a request that the upstream got.

    Parameters
    ==========

    job : Job
        The request.
    answer : UpstreamAnswer or None
        Its answer; None if the connection ended first.
    not_run_name : bytes
        Lower-case name of the header by which an upstream says that it did not run
        a request.
    """
    if answer is None:
        return lost()
    if answer.status == _MISDIRECTED:
        return not_run(Reason.STALE_INSTANCE)
    if not_run_name in answer.headers:
        return not_run(Reason.UPSTREAM_SHED)
    return answered(job, answer)


def lost() -> CallResult:
    """Return the result of a request whose connection to the upstream is gone."""
    return CallResult(Outcome.UNKNOWN, Reason.CONNECTION, retry_elsewhere=True)


def not_run(reason: Reason) -> CallResult:
    """Return the result of a request that the upstream did not run."""
    elsewhere = reason in _ELSEWHERE
    return CallResult(Outcome.NOT_RUN, reason, retry_elsewhere=elsewhere)


def answered(job: Job, answer: UpstreamAnswer) -> CallResult:
    """Return the result of a request that the upstream answered."""
    result = CallResult(
        Outcome.ANSWERED, status=answer.status, block=answer.block, body=answer.body
    )
    if answer.status >= 500 and not job.failed_calls:
        # The upstream failed by itself, which speaks against it: one that has
        # turned slow fails posting after posting at its deadline, and was sent
        # its full share as long as only reads counted.  Where a deeper call
        # failed, another instance would make the same call and fail as well.
        result.reason = Reason.UPSTREAM_FAILED
        result.retry_elsewhere = job.idempotent
    return result
