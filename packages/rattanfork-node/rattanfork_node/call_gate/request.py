"""A request as it reaches the guard."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanfork_core.request import Importance


@dataclass(slots=True, eq=False)
class GateRequest:
    """A request as it reaches the guard.

    Parameters
    ==========

    boot : str
        The incarnation of the guard that the sender means.
    deadline : float
        Time by which the answer must be out, in seconds of the clock.
    may_hand_over : callable
        Asked last before the request is written; False forbids it.
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
