"""Properties of a request that rule conditions test."""

from dataclasses import dataclass

from rattanfork_core.request.importance import Importance


@dataclass(slots=True)
class RequestFacts:
    """Properties of a request when the rules are applied.

    Parameters
    ==========

    load : float
        Fraction of the service's requests that is shed, as this node estimates
        it: 0 if all are admitted, 1 if none is.
    attempt : int
        Number of the caller's attempt, counted from 1.
    """

    service: str
    operation: str
    caller: str = ""
    method: str = "GET"
    data_centre: str = ""
    importance: Importance = Importance.NORMAL
    load: float = 0.0
    attempt: int = 1
