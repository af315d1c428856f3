"""Settings of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Time-outs and fan-outs of failure detection and dissemination.

    Parameters
    ==========

    period : float
        Seconds between two probes (the protocol period of SWIM).
    ack_timeout : float
        Seconds without an ack after which the member is probed indirectly.
    indirect_probes : int
        Number of members that relay an indirect probe.
    suspicion_multiplier : float
        Protocol periods that a suspect has to refute, as a multiple of the
        binary logarithm of the fleet size.
    updates_per_datagram : int
        Maximum number of membership updates on one datagram.
    push_interval : float
        Minimum seconds between two pushes of new updates.
    push_fanout : int
        Number of members to which new updates are pushed.
    dead_retention : float
        Seconds for which records of dead members are kept.
    """

    period: float = 1.0
    ack_timeout: float = 0.3
    indirect_probes: int = 2
    suspicion_multiplier: float = 1.5
    updates_per_datagram: int = 6
    push_interval: float = 0.2
    push_fanout: int = 2
    dead_retention: float = 600.0
