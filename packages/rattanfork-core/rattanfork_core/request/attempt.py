"""One try of a request at one instance."""

from dataclasses import dataclass
from enum import IntEnum


class AttemptState(IntEnum):
    """Where an attempt stands."""

    SENT = 0
    FENCING = 1
    NOT_RUN = 2
    MAYBE_RUN = 3
    ANSWERED = 4


@dataclass(slots=True)
class Attempt:
    """One try of a request at one instance."""

    number: int
    instance: str
    lent_attempts: int
    state: AttemptState = AttemptState.SENT
