"""A request at the guard's door."""

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that asks to be admitted.

    Parameters
    ==========

    key : int
        Identifies the waiter to the guard.
    rank : float
        Place in the order of shedding.
    operation : str
        Operation of the service, for the estimate of its running time.
    deadline : float
        Time by which its answer must be out, in seconds of the clock.
    arrived : float
        Time of its arrival.
    """

    key: int
    rank: float
    operation: str
    deadline: float
    arrived: float
    started: float = 0.0
