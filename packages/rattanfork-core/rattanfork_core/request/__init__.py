"""One request: its importance, fate, outcome, and the attempts made for it."""

from rattanfork_core.request.attempt import Attempt, AttemptState
from rattanfork_core.request.commands import (
    Command,
    Finish,
    SendCall,
    SendCancel,
    SendFence,
)
from rattanfork_core.request.fate import request_fate, request_rank
from rattanfork_core.request.fingerprint import (
    fingerprint_text,
    request_fingerprint,
)
from rattanfork_core.request.importance import Importance
from rattanfork_core.request.machine import RequestMachine
from rattanfork_core.request.outcome import Outcome, Reason
from rattanfork_core.request.progress import rank_of_call
from rattanfork_core.request.result import CallResult, FenceVerdict
from rattanfork_core.request.retry_after import spread_retry_after

__all__ = [
    "Attempt",
    "AttemptState",
    "CallResult",
    "Command",
    "FenceVerdict",
    "Finish",
    "Importance",
    "Outcome",
    "Reason",
    "RequestMachine",
    "SendCall",
    "SendCancel",
    "SendFence",
    "fingerprint_text",
    "rank_of_call",
    "request_fate",
    "request_fingerprint",
    "request_rank",
    "spread_retry_after",
]
