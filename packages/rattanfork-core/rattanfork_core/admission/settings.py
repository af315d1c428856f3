"""Settings of admission."""

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of admission at one guard.

    Parameters
    ==========

    slots : int
        Announced slots of the upstream: the limit never exceeds them.
    queue_ratio : float
        Length of the queue as a share of the concurrency limit.
    queue_delay : float
        Length of the queue as the time it takes to serve it, if that is more.
    min_queue_length : int
        Shortest length of the queue.
    retry_after : float
        Shortest time a refused caller is told to stay away, in seconds.
    warmup : float
        Seconds over which a cold instance's limit rises to full.
    surge_sample : int
        Arrivals looked at for a surge.  They must span more time than those
        that come in one batch, or each batch looks like a surge.
    max_wait : float
        Seconds after which a waiter is shed, or the mean service time if that is more.
    adaptive : bool
        Whether the limit is lowered when service times suggest that the
        upstream queues inside; without it, the announced slots are the limit.
    """

    slots: int = 100
    queue_ratio: float = 2.0
    queue_delay: float = 0.25
    min_queue_length: int = 4
    retry_after: float = 1.0
    warmup: float = 2.0
    surge_sample: int = 12
    max_wait: float = inf
    adaptive: bool = True
