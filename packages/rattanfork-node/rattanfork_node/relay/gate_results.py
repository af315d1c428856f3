"""Route path: results that the gate reports for requests that have ended."""

from rattanfork_core.request import CallResult, Outcome, Reason

from rattanfork_node.http1 import UpstreamResponse
from rattanfork_node.relay.job import Job

#: Reasons for which another instance may succeed.
_RETRY_ELSEWHERE_REASONS = frozenset(
    (
        Reason.LEAVING,
        Reason.STALE_INSTANCE,
        Reason.SHED,
        Reason.TOO_LATE,
        Reason.UPSTREAM_DOWN,
        Reason.UPSTREAM_SHED,
        Reason.NO_INSTANCE,
        Reason.NO_REPEAT,
        Reason.UPSTREAM_LIMIT,
    )
)

#: 421 Misdirected Request: another incarnation listens at the address.
MISDIRECTED_STATUS = 421
#: Statuses with which an upstream rejects a request that it does not run.  With any
#: other status, a statement that it did not run the request contradicts the status.
_REJECTION_STATUSES = frozenset((400, MISDIRECTED_STATUS, 429, 503))


def result_from_response(
    job: Job,
    response: UpstreamResponse | None,
    not_run_name: bytes,
    stamp_name: bytes = b"",
) -> CallResult:
    """Return the result of a request that was written to the upstream.

    Parameters
    ==========

    job : Job
        The request.
    response : UpstreamResponse or None
        Its response; None if the connection closed before one arrived.
    not_run_name : bytes
        Lower-case name of the response header by which an upstream states that it
        did not run the request.
    stamp_name : bytes
        Lower-case name of the header that a successful response must have; empty if
        there is none.
    """
    if response is None:
        return connection_lost()
    if not is_rejection(response, not_run_name):
        if lacks_stamp(response, stamp_name):
            return _unusable(job)
        return answered(job, response)
    if not response.is_identified:
        return _unusable(job)
    if response.status == MISDIRECTED_STATUS:
        return not_run(Reason.STALE_INSTANCE)
    return not_run(Reason.UPSTREAM_SHED)


def is_rejection(response: UpstreamResponse, not_run_name: bytes) -> bool:
    """Return whether a response states that its request was not run."""
    if response.status == MISDIRECTED_STATUS:
        return True
    return not_run_name in response.headers and response.status in _REJECTION_STATUSES


def lacks_stamp(response: UpstreamResponse, stamp_name: bytes) -> bool:
    """Return whether a success lacks the stamp that each of its upstream's has.

    It may be the beginning of a body without a length, whose end was the end of the
    upstream.
    """
    is_success = 200 <= response.status < 300
    return bool(stamp_name) and is_success and stamp_name not in response.headers


def _unusable(job: Job) -> CallResult:
    """Return the result of a request whose response shows nothing about it."""
    return CallResult(
        Outcome.UNKNOWN, Reason.UPSTREAM_FAILED, retry_elsewhere=job.idempotent
    )


def connection_lost() -> CallResult:
    """Return the result of a request whose upstream connection was lost."""
    return CallResult(Outcome.UNKNOWN, Reason.CONNECTION, retry_elsewhere=True)


def response_dropped() -> CallResult:
    """Return the result of a request whose response found no room."""
    return CallResult(Outcome.UNKNOWN, Reason.TOO_LARGE)


def not_run(reason: Reason) -> CallResult:
    """Return the result of a request that the upstream did not run."""
    retry_elsewhere = reason in _RETRY_ELSEWHERE_REASONS
    return CallResult(Outcome.NOT_RUN, reason, retry_elsewhere=retry_elsewhere)


def answered(job: Job, response: UpstreamResponse) -> CallResult:
    """Return the result of a request that the upstream ran and answered."""
    result = CallResult(
        Outcome.ANSWERED,
        status=response.status,
        block=response.header_block,
        body=response.body,
        body_parts=response.parts,
    )
    if response.status >= 500 and not job.failed_calls:
        # No downstream call failed, so the failure is the upstream's own and
        # counts against it in load balancing, also if the request is not
        # idempotent: a slow instance that times out every POST would otherwise
        # keep its full share.  After a failed downstream call, another instance
        # would make the same call and fail as well.
        result.reason = Reason.UPSTREAM_FAILED
        result.retry_elsewhere = job.idempotent
    return result
