"""Call path: a request as submitted to the call gate."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanfork_core.request import Importance


@dataclass(slots=True, eq=False)
class GateRequest:
    """A request submitted to the call gate.

    Parameters
    ==========

    boot : str
        Incarnation of the call gate that the request is meant for.
    rank : float
        Place in the order of shedding; higher ranks are shed first.
    deadline : float
        Time on the clock, in seconds, by which the response must be sent.
    attempts : int
        Retries granted to the child calls of the run.
    key : str
        Idempotency key, or "".
    may_hand_over : callable
        Called just before the request is sent to the upstream; returns False if
        the request has been fenced.
    """

    boot: str
    operation: str
    method: str
    path: str
    headers: list
    body: bytes
    request_id: str
    caller: str
    importance: Importance
    rank: float
    deadline: float
    attempts: int
    key: str
    idempotent: bool
    may_hand_over: Callable[[], bool]
