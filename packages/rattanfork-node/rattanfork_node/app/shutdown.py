"""How a node by routes ends without cutting anything off."""

import asyncio

from rattanfork_core.clock import Clock

from rattanfork_node.http1 import HttpServer
from rattanfork_node.member import GossipTask
from rattanfork_node.relay import Gate
from rattanfork_node.telemetry import log_change

#: Part of the grace for which runs are still taken after SIGTERM.  The upstream
#: goes on while its node is restarted; where instances are restarted in turn,
#: each that is away longer than the next one waits takes two away at once.
_TAKE_RUNS_SHARE = 0.27
#: Seconds after the others were told for which runs are still taken: until then
#: all have heard, and what they sent before need not be sent again.
_TELL_TIME = 0.4
#: Seconds after SIGTERM for which callers are served at least: readiness is
#: asked for each second, and two refusals take a node out.
_SERVE_FOR = 2.6
#: Part of the grace after which the process ends whatever is in flight.
_GRACE_SHARE = 0.85
#: Seconds between two looks at what is still in flight.
_LOOK = 0.05


class Shutdown:
    """Waits for what is in flight, and tells the others in good time.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    grace : float
        Seconds between SIGTERM and SIGKILL.
    member : GossipTask
        Tells the others that this node leaves.
    gate : Gate
        What runs at the upstream.
    callers : HttpServer
        What callers wait for.
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
        """Until when callers are served at least."""
        return self._began + _SERVE_FOR

    def begin(self) -> float:
        """Begin to leave; return when the process ends at the latest."""
        log_change(
            "draining", runs=self._gate.outstanding, requests=self._callers.in_flight
        )
        self._began = self._clock.now()
        self._gate.leave()
        self._callers.leave()
        return self._end

    async def finish(self) -> int:
        """Wait until nothing is in flight; return the exit status."""
        tell_at = self._began + _TAKE_RUNS_SHARE * self._grace
        told = False
        while (now := self._clock.now()) < self._end:
            if now >= tell_at and not told:
                told = True
                self._member.leave()
            if now >= tell_at + _TELL_TIME and self._gate.accepting:
                self._gate.detach()
            if now - self._began > _SERVE_FOR and not self._in_flight:
                break
            await asyncio.sleep(_LOOK)
        if not self._in_flight:
            return 0
        log_change("cut_off", runs=self._gate.outstanding, requests=self._in_flight)
        return 1

    @property
    def _end(self) -> float:
        return self._began + _GRACE_SHARE * self._grace

    @property
    def _in_flight(self) -> int:
        return self._callers.in_flight + self._gate.outstanding
