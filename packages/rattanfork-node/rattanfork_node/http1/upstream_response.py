"""Response of an upstream, and the values of its headers."""

from typing import NamedTuple


class UpstreamResponse(NamedTuple):
    """A complete response of an upstream.

    Parameters
    ==========

    status : int
        HTTP status code.
    header_block : bytes
        Header lines to forward, each ending in CRLF.
    body : bytes
        Response body.
    headers : dict
        Values of the captured headers by lower-case name; several headers of one name
        are joined with commas.
    received_at : float
        When its head was received, in seconds of the clock.
    is_identified : bool
        Whether it is certainly the response to its request, and not one to another
        request or to an earlier attempt.
    parts : list of bytes, optional
        A large body, if the connection keeps such in parts; ``body`` is empty then.
    """

    status: int
    header_block: bytes
    body: bytes
    headers: dict[bytes, bytes]
    received_at: float = 0.0
    is_identified: bool = True
    parts: list[bytes] | None = None


def keep_alive_timeout(value: bytes) -> float | None:
    """Return the time-out in seconds that a Keep-Alive header states, if it does.

    Examples
    ========

    >>> keep_alive_timeout(b"max=5, timeout=7")
    7.0
    >>> keep_alive_timeout(b"max=5") is None
    True
    """
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
