"""Registration and heartbeat of an upstream."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Announcement:
    """State that an upstream sends to its node about once per heartbeat interval.

    Parameters
    ==========

    upstream : str
        ID of the upstream; it may be the same after a restart.
    service : str
        Service that the upstream runs.
    host : str
        Its address.
    port : int
        Its port.
    slots : int
        Number of requests that it runs at once.
    sequence : int
        Increases with each announcement of one incarnation.
    leaving : bool
        Whether it is draining and accepts no new requests.
    warmup_left : float
        Seconds for which it is still slow after its start.
    born : int
        Start of the incarnation in Unix milliseconds of the upstream's clock; 0 if
        unknown.
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
