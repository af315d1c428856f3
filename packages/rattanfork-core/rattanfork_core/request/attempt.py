"""An attempt of a request at one instance."""

from dataclasses import dataclass
from enum import IntEnum

from rattanfork_core.request.proof import Proof


class AttemptState(IntEnum):
    """State of an attempt, as its sender knows it."""

    SENT = 0
    #: Its connection was lost, and a fence was sent to the guard, the node beside the
    #: upstream, which is to refuse the attempt from then on.
    FENCING = 1
    #: Proved not to have run, nor to run later.
    NOT_RUN = 2
    #: Nothing is proved: it may have run, or still run.
    MAYBE_RUN = 3
    ANSWERED = 4
    #: Cancelled; the guard's result may still arrive and decides the outcome.
    CANCELLING = 5


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
        Extra attempts that the run may spend on its downstream calls.
    state : AttemptState
        What the sender knows of the attempt.
    proof : Proof
        How it was proved that the attempt has not run.
    """

    number: int
    instance: str
    delegated_attempts: int
    state: AttemptState = AttemptState.SENT
    proof: Proof = Proof.NONE
