"""What the guard and the upstream tell each other."""

import os

from rattanfork_core.budgets import RequestBudget, RunContext
from rattanfork_core.clock import Clock
from rattanfork_core.request import CallResult, Outcome, Reason
from rattanfork_core.request.importance import RANK_LIMIT

from rattanfork_node.call_gate.request import GateRequest
from rattanfork_node.call_gate.upstream_client import UpstreamAnswer

_TOKEN_BYTES = 9


def new_context(clock: Clock, request: GateRequest) -> RunContext:
    """Return what the child calls of a run inherit.

    The token is random: who has not been given it can't spend the account.
    """
    return RunContext(
        os.urandom(_TOKEN_BYTES).hex(),
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
    """Return the headers the upstream gets; ``time_left`` is in seconds."""
    return [
        *((name, value) for name, value in request.headers),
        ("Rattanfork-Context", context.token),
        ("Rattanfork-Request-Id", request.request_id),
        ("Rattanfork-Caller", request.caller),
        ("Rattanfork-Importance", request.importance.label),
        ("Rattanfork-Timeout-Ms", str(max(1, int(1000 * time_left)))),
    ]


def answered(context: RunContext, answer: UpstreamAnswer) -> CallResult:
    """Return the result of a run that the upstream answered."""
    return CallResult(
        Outcome.ANSWERED,
        Reason.NONE,
        answer.status,
        answer.headers,
        answer.body,
        unused_attempts=context.account.attempts,
        retry_after=context.downstream_retry_after,
    )
