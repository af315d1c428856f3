"""What a guard remembers of a key."""

from dataclasses import dataclass, field
from enum import IntEnum

from rattanfork_core.request.result import CallResult


class RunState(IntEnum):
    """Where a key stands at its guard."""

    #: Admitted or waiting; not yet handed to the upstream.
    WAITING = 0
    #: Handed to the upstream; no answer yet.
    HANDED_OVER = 1
    #: The upstream answered.
    ANSWERED = 2
    #: Refused for good: reported as not run.
    FENCED = 3
    #: Handed over, and lost: the upstream's connection broke.
    LOST = 4


@dataclass(slots=True, eq=False)
class RunRecord:
    """One key at its guard."""

    key: str
    caller: str
    digest: int
    state: RunState = RunState.WAITING
    result: CallResult | None = None
    joined: list[int] = field(default_factory=list)
