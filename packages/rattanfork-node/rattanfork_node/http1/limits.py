"""Size limits and time-outs for requests of clients."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Size limits and time-outs for the requests of a server's clients.

    Parameters
    ==========

    max_head_bytes : int
        Maximum size of request line and headers.
    max_body_bytes : int
        Maximum size of a request body.
    head_timeout : float
        Seconds from the first byte of a request to the end of its headers.
    idle_timeout : float
        Seconds after which a connection without a request is closed.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 16 << 20
    head_timeout: float = 3.0
    idle_timeout: float = 15.0
