"""What an attempt came to."""

from dataclasses import dataclass, field
from enum import IntEnum

from rattanfork_core.request.outcome import Outcome, Reason


class FenceVerdict(IntEnum):
    """A guard's word on an attempt that was fenced."""

    #: Never handed over, and never will be.
    NOT_RUN = 0
    #: Handed to the upstream.
    HANDED_OVER = 1
    #: The guard has forgotten, or never had, the memory needed to tell.
    UNKNOWN = 2


@dataclass(slots=True)
class CallResult:
    """The answer of a guard to one attempt.

    Parameters
    ==========

    outcome : Outcome
        What is known of the run.
    reason : Reason
        Why, unless answered.
    status : int
        HTTP status of the upstream's answer; 0 unless answered.
    headers : list of pairs
        Headers of the upstream's answer.
    body : bytes
        The whole body.
    block : bytes
        Headers of the upstream's answer as lines that end in CRLF, where they
        are forwarded without being taken apart.
    unused_attempts : int
        Extra attempts lent with the call and not spent below.
    retry_elsewhere : bool
        Whether another instance may do better.
    retry_after : float
        Seconds until the caller should come back; 0 if not known.
    reach : tuple of str
        Services that runs of the operation call, at any depth, as the guard has
        learned.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    unused_attempts: int = 0
    retry_elsewhere: bool = False
    retry_after: float = 0.0
    block: bytes = b""
    reach: tuple[str, ...] = ()
