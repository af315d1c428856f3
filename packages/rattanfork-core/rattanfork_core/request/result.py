"""Result of an attempt, and reply to a fence, as reported by the guard."""

from dataclasses import dataclass, field
from enum import IntEnum

from rattanfork_core.request.outcome import Outcome, Reason
from rattanfork_core.request.proof import Proof


class FenceVerdict(IntEnum):
    """Reply to a fence, from the guard: the node beside the upstream."""

    #: The attempt was never sent to the upstream, and never will be.
    NOT_RUN = 0
    #: The attempt was sent to the upstream.
    HANDED_OVER = 1
    #: The guard cannot tell, as it has no record of the attempt.
    UNKNOWN = 2


@dataclass(slots=True)
class CallResult:
    """Result of an attempt, or of the whole request in its final command.

    Parameters
    ==========

    outcome : Outcome
        Whether the request has run, as far as known.
    reason : Reason
        Reason for the outcome, unless answered.
    status : int
        HTTP status of the upstream's response; 0 without one.
    headers : list of pairs
        Headers of the upstream's response.
    body : bytes
        Complete body of the response; empty if it is large.
    block : bytes
        Headers of the upstream's response as raw lines that end in CRLF, where they
        are forwarded unparsed.
    unused_attempts : int
        Extra attempts that were delegated with the call and not spent.
    retry_elsewhere : bool
        Whether a retry at another instance may succeed.
    retry_after : float
        Seconds after which the caller should retry; 0 if not known.
    services_reached : tuple of str
        Services that the operation calls, directly or indirectly, as observed by the
        guard.
    proof : Proof
        How it was proved that the request has not run.
    body_parts : list of bytes, optional
        A large body.
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
    services_reached: tuple[str, ...] = ()
    proof: Proof = Proof.NONE
    body_parts: list[bytes] | None = None
