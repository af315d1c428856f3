"""Call path: run contexts, request headers and results of upstream requests."""

import os

from rattanfork_core.budgets import RequestBudget, RunContext
from rattanfork_core.clock import Clock
from rattanfork_core.request import CallResult, Outcome, Reason
from rattanfork_core.request.importance import RANK_LIMIT

from rattanfork_node.call_gate.request import GateRequest
from rattanfork_node.call_gate.upstream_client import UpstreamResponse

_CONTEXT_TOKEN_BYTES = 9


def new_context(clock: Clock, request: GateRequest) -> RunContext:
    """Return the context that the child calls of a run inherit.

    The upstream names the run by the token in its child calls.  The token is
    random, so nobody else can spend the retries of the run's budget.
    """
    return RunContext(
        os.urandom(_CONTEXT_TOKEN_BYTES).hex(),
        request.request_id,
        request.caller,
        request.importance,
        request.operation,
        RequestBudget(clock, request.deadline, request.attempts),
        float(RANK_LIMIT),
    )


def upstream_headers(
    request: GateRequest, context: RunContext, time_left: float
) -> list[tuple[str, str]]:
    """Return the headers sent to the upstream; ``time_left`` is in seconds."""
    return [
        *((name, value) for name, value in request.headers),
        ("Rattanfork-Context", context.token),
        ("Rattanfork-Request-Id", request.request_id),
        ("Rattanfork-Caller", request.caller),
        ("Rattanfork-Importance", request.importance.label),
        ("Rattanfork-Timeout-Ms", str(max(1, int(1000 * time_left)))),
    ]


def answered_result(context: RunContext, response: UpstreamResponse) -> CallResult:
    """Return the result of a run for which the upstream sent a response."""
    return CallResult(
        Outcome.ANSWERED,
        Reason.NONE,
        response.status,
        response.headers,
        response.body,
        unused_attempts=context.account.attempts,
        retry_after=context.downstream_retry_after,
    )
