"""Steps and faults of the matrix."""

from enum import Enum


class Step(Enum):
    """Where in the life of a request a fault strikes."""

    REQUEST = "caller to node"
    CALL = "node to guard"
    QUEUE = "waiting at the guard"
    HAND_OVER = "guard to upstream"
    RUN = "running"
    ANSWER = "upstream to guard"
    REPLY = "guard to node"
    DELIVER = "node to caller"


class Fault(Enum):
    """What goes wrong."""

    LOST = "message lost"
    DOUBLED = "message doubled"
    LATE = "message a minute late"
    CUT = "connection cut"
    SILENT = "connection silent"
    GUARD_KILLED = "guard killed"
    GUARD_FROZEN = "guard frozen, woken"
    NODE_KILLED = "node killed"
    NODE_FROZEN = "node frozen, woken"
    UPSTREAM_KILLED = "upstream killed"
    UPSTREAM_SLOW = "upstream slow"
    CALLER_LEAVES = "caller leaves"
    OVERLOAD = "guard overloaded"
    DRAIN = "guard drains"
    CLOCK_JUMP = "clock jumps"


#: Faults of a message; they make no sense while a request waits or runs.
MESSAGE_FAULTS = frozenset(
    (Fault.LOST, Fault.DOUBLED, Fault.LATE, Fault.CUT, Fault.SILENT)
)
MESSAGE_STEPS = frozenset(
    (Step.REQUEST, Step.CALL, Step.HAND_OVER, Step.ANSWER, Step.REPLY, Step.DELIVER)
)


def applies(step: Step, fault: Fault) -> bool:
    """Return whether a fault can strike at a step."""
    if fault in MESSAGE_FAULTS:
        return step in MESSAGE_STEPS
    return True
