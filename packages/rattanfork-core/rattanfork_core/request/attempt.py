"""An attempt of a request at one instance."""

from dataclasses import dataclass
from enum import IntEnum


class AttemptState(IntEnum):
    """State of an attempt, as its sender knows it."""

    SENT = 0
    #: Its connection was lost, and the guard has been asked to refuse it for good.
    FENCING = 1
    #: Proved not to have run, nor to run later.
    NOT_RUN = 2
    #: Nothing is proved: it may have run, or still run.
    MAYBE_RUN = 3
    ANSWERED = 4


@dataclass(slots=True)
class Attempt:
    """An attempt of a request at one instance.

    Parameters
    ==========

    number : int
        Its number among the attempts of the request, from 1.
    instance : str
        Instance that it is sent to.
    delegated_attempts : int
        Extra attempts that the instance may spend on calls of its own.
    state : AttemptState
        What the sender knows of the attempt.
    """

    number: int
    instance: str
    delegated_attempts: int
    state: AttemptState = AttemptState.SENT
