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
