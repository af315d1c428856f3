"""Steps of a request, and the faults that can be injected at each."""

from enum import Enum


class Step(Enum):
    """Step on the path of a request at which a fault is injected.

    The *entry node* takes the request from the caller; the *serving node* runs
    beside the upstream instance that handles it, and admits it at its gate.
    """

    REQUEST = "caller to entry node"
    CALL = "entry to serving node"
    QUEUE = "queued at serving node"
    HAND_OVER = "serving node to upstream"
    RUN = "running"
    ANSWER = "upstream to serving node"
    REPLY = "serving to entry node"
    DELIVER = "entry node to caller"


class Fault(Enum):
    """Fault that is injected."""

    LOST = "message lost"
    DUPLICATED = "message duplicated"
    DELAYED = "message delayed by 60 s"
    CONNECTION_RESET = "connection reset"
    CONNECTION_SILENT = "connection silent"
    SERVING_NODE_KILLED = "serving node killed"
    SERVING_NODE_PAUSED = "serving node paused, resumed"
    ENTRY_NODE_KILLED = "entry node killed"
    ENTRY_NODE_PAUSED = "entry node paused, resumed"
    UPSTREAM_KILLED = "upstream killed"
    UPSTREAM_SLOW = "upstream slow"
    CALLER_DISCONNECTS = "caller disconnects"
    OVERLOAD = "serving node overloaded"
    DRAIN = "serving node drains"
    CLOCK_STEP = "clock step"


#: Network faults, which do not apply while a request is queued or running.
MESSAGE_FAULTS = frozenset(
    (
        Fault.LOST,
        Fault.DUPLICATED,
        Fault.DELAYED,
        Fault.CONNECTION_RESET,
        Fault.CONNECTION_SILENT,
    )
)
MESSAGE_STEPS = frozenset(
    (Step.REQUEST, Step.CALL, Step.HAND_OVER, Step.ANSWER, Step.REPLY, Step.DELIVER)
)


def applies(step: Step, fault: Fault) -> bool:
    """Return whether a fault can occur at a step."""
    if fault in MESSAGE_FAULTS:
        return step in MESSAGE_STEPS
    return True
