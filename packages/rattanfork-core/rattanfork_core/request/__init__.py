"""State of a request at the node that received it: rank, attempts and outcome."""

from rattanfork_core.request.attempt import Attempt, AttemptState
from rattanfork_core.request.cancel_wait import cancel_lead, reply_wait
from rattanfork_core.request.commands import (
    Command,
    Finish,
    SendCall,
    SendCancel,
    SendFence,
)
from rattanfork_core.request.fingerprint import (
    format_fingerprint,
    request_fingerprint,
)
from rattanfork_core.request.importance import Importance
from rattanfork_core.request.outcome import (
    Outcome,
    Reason,
    outcome_of,
    reason_of,
)
from rattanfork_core.request.progress import rank_of_call
from rattanfork_core.request.proof import Proof
from rattanfork_core.request.result import CallResult, FenceVerdict
from rattanfork_core.request.retry_after import jittered_retry_after
from rattanfork_core.request.state_machine import RequestStateMachine
from rattanfork_core.request.tiebreak import request_rank, request_tiebreak

__all__ = [
    "Attempt",
    "AttemptState",
    "CallResult",
    "Command",
    "FenceVerdict",
    "Finish",
    "Importance",
    "Outcome",
    "Proof",
    "Reason",
    "RequestStateMachine",
    "SendCall",
    "SendCancel",
    "SendFence",
    "cancel_lead",
    "format_fingerprint",
    "jittered_retry_after",
    "outcome_of",
    "rank_of_call",
    "reason_of",
    "reply_wait",
    "request_fingerprint",
    "request_rank",
    "request_tiebreak",
]
