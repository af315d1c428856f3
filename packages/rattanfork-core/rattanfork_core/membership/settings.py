"""Settings of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of the membership protocol.

    Parameters
    ==========

    period : float
        Seconds between two probes.
    ack_timeout : float
        Seconds after which others are asked to probe.
    helpers : int
        How many are asked.
    suspicion : float
        Periods a suspect has to answer, times the logarithm of the fleet.
    rumours : int
        Most rumours of a datagram.
    push_interval : float
        Least seconds between two pushes of fresh news.
    pushes : int
        How many others fresh news is pushed to.
    forget_after : float
        Seconds for which the dead are remembered.
    """

    period: float = 1.0
    ack_timeout: float = 0.3
    helpers: int = 2
    suspicion: float = 1.5
    rumours: int = 6
    push_interval: float = 0.2
    pushes: int = 2
    forget_after: float = 600.0
