"""State of one idempotency key."""

from dataclasses import dataclass, field
from enum import IntEnum

from rattanfork_core.request.result import CallResult


class RunState(IntEnum):
    """State of a key at the node of its instance."""

    #: Admitted or queued; not yet handed over to the upstream.
    WAITING = 0
    #: Handed over to the upstream; no response yet.
    HANDED_OVER = 1
    #: The upstream responded.
    ANSWERED = 2
    #: Permanently refused; reported as not run.
    FENCED = 3
    #: Handed over, but the connection to the upstream was lost: outcome unknown.
    LOST = 4


@dataclass(slots=True, eq=False)
class RunRecord:
    """A key with its caller, its request's hash, and the stored response."""

    key: str
    caller: str
    digest: int
    state: RunState = RunState.WAITING
    result: CallResult | None = None
    joined: list[int] = field(default_factory=list)
