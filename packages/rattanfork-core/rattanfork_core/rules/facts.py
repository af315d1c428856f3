"""What rules may ask of a request."""

from dataclasses import dataclass

from rattanfork_core.request.importance import Importance


@dataclass(slots=True)
class RequestFacts:
    """What is known of a request when the rules are applied.

    Parameters
    ==========

    load : float
        Pressure on the service as this node knows it: 0 while all is
        admitted, 1 when nothing is.
    attempt : int
        Number of the caller's attempt, from 1.
    """

    service: str
    operation: str
    caller: str = ""
    method: str = "GET"
    data_centre: str = ""
    importance: Importance = Importance.NORMAL
    load: float = 0.0
    attempt: int = 1
