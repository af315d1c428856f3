"""Graceful shutdown of a routing node."""

import asyncio

from rattanfork_core.clock import Clock

from rattanfork_node.http1 import HttpServer
from rattanfork_node.member import GossipTask
from rattanfork_node.relay import Gate
from rattanfork_node.telemetry import log_change

#: Share of the grace period after SIGTERM during which runs from other nodes are still
#: accepted.  The upstream keeps running while its node restarts.  In a rolling restart,
#: an instance that is unavailable for longer than the interval between two restarts
#: is missing together with the next one.
_ACCEPT_RUNS_SHARE = 0.27
#: Seconds after the announcement of leaving during which runs are still accepted.  By
#: then all nodes have received it, so that no call has to be retried elsewhere.
_PROPAGATION_S = 0.4
#: Minimum time in seconds after SIGTERM for which callers are served.  Readiness is
#: checked every second, and two failed checks take a node out of service.
_MIN_SERVING_S = 2.6
#: Share of the grace period after which the process exits even with requests in flight.
_EXIT_SHARE = 0.85
#: Seconds between two checks of the requests in flight.
_POLL_INTERVAL_S = 0.05


class Shutdown:
    """Drains a node: announces its leaving and waits for the requests in flight.

    Explanation
    ===========

    For a share of the grace period the node still accepts runs from other nodes.  It
    then announces its leaving over gossip and closes the gate once all nodes have
    received that.  Callers are served until readiness checks have failed twice.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    grace : float
        Seconds between SIGTERM and SIGKILL.
    member : GossipTask
        Announces to other nodes that this one leaves.
    gate : Gate
        Gate of the upstream, which holds the runs in flight.
    callers : HttpServer
        Server for callers, which holds their requests in flight.
    """

    def __init__(
        self,
        clock: Clock,
        grace: float,
        member: GossipTask,
        gate: Gate,
        callers: HttpServer,
    ) -> None:
        self._clock = clock
        self._grace = grace
        self._member = member
        self._gate = gate
        self._callers = callers

    @property
    def serves_until(self) -> float:
        """Earliest time at which callers are no longer served."""
        return self._began_at + _MIN_SERVING_S

    def begin(self) -> float:
        """Begin the shutdown; return the latest time at which the process exits."""
        log_change(
            "draining", runs=self._gate.outstanding, requests=self._callers.in_flight
        )
        self._began_at = self._clock.now()
        self._gate.leave()
        self._callers.leave()
        return self._exit_at

    async def finish(self) -> int:
        """Wait until nothing is in flight; return 0, or 1 if requests were cut off."""
        announce_at = self._began_at + _ACCEPT_RUNS_SHARE * self._grace
        announced = False
        while (now := self._clock.now()) < self._exit_at:
            if now >= announce_at and not announced:
                announced = True
                self._member.leave()
            if now >= announce_at + _PROPAGATION_S and self._gate.accepting:
                self._gate.detach()
            if now - self._began_at > _MIN_SERVING_S and not self._in_flight:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        if not self._in_flight:
            return 0
        log_change("cut_off", runs=self._gate.outstanding, requests=self._in_flight)
        return 1

    @property
    def _exit_at(self) -> float:
        return self._began_at + _EXIT_SHARE * self._grace

    @property
    def _in_flight(self) -> int:
        return self._callers.in_flight + self._gate.outstanding
