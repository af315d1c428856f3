"""One announcement of an upstream."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream says of itself, about every heartbeat interval.

    Parameters
    ==========

    upstream : str
        ID of the upstream; one that starts again may keep it.
    service : str
        Service that it runs.
    host : str
        Its address.
    port : int
        Its port.
    slots : int
        Requests that it runs at once.
    sequence : int
        Rises with each announcement of the incarnation.
    leaving : bool
        Whether it takes no new work.
    warmup_left : float
        Seconds for which it is still slow after its start.
    born : int
        When the incarnation started, in Unix milliseconds of its own clock; 0 if
        it does not say.
    """

    upstream: str
    service: str
    host: str
    port: int
    slots: int
    sequence: int
    leaving: bool = False
    warmup_left: float = 0.0
    born: int = 0
