"""A request in admission control: waiting for a slot, or running."""

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for admission, or runs.

    Parameters
    ==========

    key : int
        Identifies the request at this controller.
    rank : float
        Shedding order: the highest rank is shed first.
    operation : str
        Operation of the service, for the estimate of its service time.
    deadline : float
        Time by which the response has to be sent, in seconds of the clock.
    arrived : float
        When the request arrived, in seconds of the clock.
    started : float
        When it was sent to the upstream, in seconds of the clock.
    """

    key: int
    rank: float
    operation: str
    deadline: float
    arrived: float
    started: float = 0.0
