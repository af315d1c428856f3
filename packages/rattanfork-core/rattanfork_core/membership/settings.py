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
    indirect_probes : int
        How many are asked.
    suspicion_multiplier : float
        Periods a suspect has to answer, times the logarithm of the fleet.
    updates_per_datagram : int
        Most rumours of a datagram.
    push_interval : float
        Least seconds between two pushes of fresh news.
    push_fanout : int
        How many others fresh news is pushed to.
    dead_retention : float
        Seconds for which the dead are remembered.
    """

    period: float = 1.0
    ack_timeout: float = 0.3
    indirect_probes: int = 2
    suspicion_multiplier: float = 1.5
    updates_per_datagram: int = 6
    push_interval: float = 0.2
    push_fanout: int = 2
    dead_retention: float = 600.0
