"""Route path: replies of peer nodes to runs."""

from rattanfork_core.advertised import UpstreamReport, UpstreamReportTable
from rattanfork_core.request import CallResult, Outcome, outcome_of, reason_of

from rattanfork_node.peer import RunReply


def result_from_reply(
    reply: RunReply, body_parts: list[bytes] | None = None
) -> CallResult:
    """Return the result of an attempt from the reply of its gate.

    Parameters
    ==========

    reply : RunReply
        The reply.
    body_parts : list of bytes, optional
        Its body if it came in parts.
    """
    return CallResult(
        outcome_of(reply.outcome),
        reason_of(reply.reason),
        reply.status,
        body=reply.body,
        retry_elsewhere=reply.retry_elsewhere,
        block=reply.block,
        services_reached=tuple(reply.services_reached),
        body_parts=body_parts,
    )


def store_report(reports: UpstreamReportTable, instance: str, reply: RunReply) -> None:
    """Store what the upstream of an instance advertises.

    Only a response of the upstream shows that it advertises nothing: the gate may
    refuse requests before it knows what it advertises.

    Parameters
    ==========

    reports : UpstreamReportTable
        What the upstreams of other instances have advertised.
    instance : str
        Instance of the upstream.
    reply : RunReply
        Reply of its gate.
    """
    report = None
    if reply.upstream:
        report = UpstreamReport(
            reply.upstream, reply.born, reply.rate_limit, reply.leaving
        )
    elif reply.outcome != Outcome.ANSWERED:
        return
    reports.update(instance, report)
