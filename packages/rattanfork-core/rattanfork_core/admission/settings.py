"""Settings of the admission controller."""

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of the admission controller of one upstream.

    Parameters
    ==========

    slots : int
        Slots that the upstream announces; the limit never exceeds them.
    queue_ratio : float
        Bound of the queue as a multiple of the concurrency limit.
    queue_delay : float
        Bound of the queue as the seconds it takes to serve it, if that is more.
    min_queue_length : int
        Smallest bound of the queue, in requests.
    retry_after : float
        Shortest ``Retry-After`` of a refusal, in seconds.
    warmup : float
        Seconds over which the limit of a cold instance rises to its full value.
    surge_sample : int
        Number of recent arrivals that are checked for a surge.  It has to exceed
        the arrivals read in one batch, or each batch looks like a surge.
    max_wait : float
        Seconds after which a waiter is shed, or the mean service time if that is
        longer.
    adaptive : bool
        Whether the limit is lowered when service times suggest that the upstream
        queues internally; otherwise it equals the announced slots.
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
