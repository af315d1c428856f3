"""Bounds on what a client may send."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on what a client may send and how long it may take.

    Parameters
    ==========

    head_bytes : int
        Most bytes of request line and headers.
    body_bytes : int
        Most bytes of a body.
    head_timeout : float
        Seconds from the first byte of a request to the end of its head.
    idle_timeout : float
        Seconds for which a connection may stay open without a request.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 16 << 20
    head_timeout: float = 3.0
    idle_timeout: float = 15.0
