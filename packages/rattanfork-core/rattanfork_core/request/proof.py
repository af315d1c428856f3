"""How it was proved that a request has not run."""

from enum import StrEnum


class Proof(StrEnum):
    """Proof that an attempt, or a whole request, has not run and never will.

    Values are the labels in counters and in the ``proof`` field of request lines.
    """

    #: Not proved: it may have run.
    NONE = ""
    #: No attempt was made.
    NO_ATTEMPT = "no-attempt"
    #: The attempt was never written to a connection, and never will be.
    UNWRITTEN = "unwritten"
    #: The gate refused the attempt on its own.
    GATE = "gate"
    #: The gate had not handed the attempt over when the cancel arrived.
    CANCEL = "cancel"
    #: The gate had not handed the attempt over when the fence arrived.
    FENCE = "fence"
    #: The upstream stated that it did not run the attempt.
    UPSTREAM = "upstream"
