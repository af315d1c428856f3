"""Graceful shutdown of a routing node."""

import asyncio
from collections.abc import Callable

from rattanfork_core.clock import Clock

from rattanfork_node.app.exit_guard import EXIT_MARGIN_S
from rattanfork_node.app.unsent_watch import UnsentWatch
from rattanfork_node.http1 import HttpServer
from rattanfork_node.member import GossipTask
from rattanfork_node.peer import BasePeerHandler
from rattanfork_node.relay import DrainPolicy, Gate
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
#: Seconds after SIGTERM by which the leaving is announced, however long the grace
#: period is: a node without requests exits soon after it.
_MAX_ACCEPT_RUNS_S = _MIN_SERVING_S - _PROPAGATION_S
#: Share of the grace period for which attempts are sent without a check whether they
#: end in time: most do, and a run fails for each call that is refused.
_UNCHECKED_SHARE = 0.5
#: Seconds before requests are given up by which upstreams end runs by themselves.
_RUN_RESPONSE_S = 0.1
#: Seconds before the exit guard ends the process by which nothing is waited for any
#: more; the rest is for closing.
_CLOSE_S = 0.1
#: Seconds before that at which requests in flight are given up, so that their clients
#: still receive a final response.
_GIVE_UP_S = 0.3
#: Grace period in seconds below which these margins, and that of the exit, are shares
#: of it.  Requests are then given up within its last sixth, as in longer ones.
_MIN_FULL_MARGINS_GRACE_S = 6.0
#: Seconds between two checks of the requests in flight.
_POLL_INTERVAL_S = 0.05
#: The same for requests that were given up, whose gates reply within that time.
_RESPONSE_POLL_INTERVAL_S = 0.01
#: Seconds for other nodes to read the end of their links.
_LINKS_S = 0.3
#: Turns of the event loop in which new connections are accepted, sockets read, and
#: batched messages written.
_SETTLING_TURNS = 4


class Shutdown:
    """Drains a node: announces its leaving and waits for the requests in flight.

    Explanation
    ===========

    For a share of the grace period the node still accepts runs from other nodes.  It
    then announces its leaving over gossip and closes the gate once all nodes have
    received that.  Callers are served until readiness checks have failed twice.

    Requests that are in flight near the end of the grace period are given up: their
    callers receive 503 if it is proved that they have not run, and 502 otherwise.
    Responses that are ready are delivered for as long as the grace period lasts, and
    connections stay open until their clients have closed them or had the time to read:
    what a kernel still holds at the exit is lost if the client sends anything.  Other
    nodes read at once, so that one that does not for a second is taken for lost.
    After a stall of the event loop its timers run before its sockets are read, so that
    nothing is known to be in flight before it had some turns for both.

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
    give_up : callable
        Called once, to end the requests that are still in flight.
    peers : BasePeerHandler
        Knows the replies that other nodes have not received.
    """

    def __init__(
        self,
        clock: Clock,
        grace: float,
        member: GossipTask,
        gate: Gate,
        callers: HttpServer,
        give_up: Callable[[], None],
        peers: BasePeerHandler,
    ) -> None:
        self._clock = clock
        self._grace = grace
        self._member = member
        self._gate = gate
        self._callers = callers
        self._give_up = give_up
        self._peers = peers
        self._unsent = UnsentWatch()

    def begin(self) -> DrainPolicy:
        """Begin the shutdown; return what decides on requests from now on."""
        log_change(
            "draining", runs=self._gate.outstanding, requests=self._callers.in_flight
        )
        self._began_at = self._clock.now()
        self._gate.leave()
        self._callers.leave()
        gives_up_at = self._give_up_at
        return DrainPolicy(
            self._clock,
            gives_up_at,
            self._began_at + _MIN_SERVING_S,
            self._began_at + _UNCHECKED_SHARE * self._grace,
            self._margin_scale * _RUN_RESPONSE_S,
        )

    async def finish(self) -> int:
        """Wait until nothing is in flight; return 0, or 1 if requests were given up."""
        accepts_for = min(_ACCEPT_RUNS_SHARE * self._grace, _MAX_ACCEPT_RUNS_S)
        announce_at = self._began_at + accepts_for
        announced = False
        while (now := self._clock.now()) < self._give_up_at:
            if now >= announce_at and not announced:
                announced = True
                self._member.leave()
            if now >= announce_at + _PROPAGATION_S and self._gate.accepting:
                self._gate.detach()
            if now - self._began_at > _MIN_SERVING_S and not self._is_busy(now):
                await self._settle()
                if not self._is_busy(now):
                    break
            await asyncio.sleep(min(_POLL_INTERVAL_S, self._give_up_at - now))
        else:
            await self._settle()
        status = 0
        if self._in_flight:
            status = 1
            runs, requests = self._gate.outstanding, self._callers.in_flight
            self._give_up()
            await self._wait_for_responses()
            log_change(
                "cut_off",
                runs=runs,
                requests=requests,
                unanswered=self._callers.in_flight,
                undelivered_bytes=self._undelivered_bytes,
            )
        elif self._undelivered_bytes:
            log_change("cut_off", undelivered_bytes=self._undelivered_bytes)
        return status

    async def finish_links(self) -> None:
        """Close the links of other nodes, which read what is left and close them."""
        began_at, accepted = self._clock.now(), self._callers.accepted
        ends_at = min(began_at + _LINKS_S, self._began_at + self._time_until(0.0))
        links = len(self._peers.links)
        self._peers.finish_links()
        while self._peers.links and self._clock.now() < ends_at:
            await asyncio.sleep(_RESPONSE_POLL_INTERVAL_S)
        # Requests that came meanwhile receive their refusals.
        await self._settle()
        log_change(
            "links_finished",
            links=links,
            left=len(self._peers.links),
            seconds=round(self._clock.now() - began_at, 3),
            accepted_connections=self._callers.accepted - accepted,
        )

    async def _settle(self) -> None:
        """Let the event loop read what waits in sockets, new connections included."""
        ends_at = self._began_at + self._time_until(_CLOSE_S)
        accepted = -1
        # Also after a stall beyond that time.
        while accepted < 0 or (
            accepted != self._callers.accepted and self._clock.now() < ends_at
        ):
            accepted = self._callers.accepted
            for _ in range(_SETTLING_TURNS):
                await asyncio.sleep(0)

    async def _wait_for_responses(self) -> None:
        """Wait until requests that were given up have their final responses."""
        ends_at = self._began_at + self._time_until(_CLOSE_S)
        while (now := self._clock.now()) < ends_at:
            if not self._is_busy_with_callers and not self._is_unread_by_peers(now):
                await self._settle()
                if not self._is_busy_with_callers:
                    return
            await asyncio.sleep(_RESPONSE_POLL_INTERVAL_S)

    @property
    def _give_up_at(self) -> float:
        return self._began_at + self._time_until(_CLOSE_S + _GIVE_UP_S)

    def _time_until(self, before_exit: float) -> float:
        """Return the seconds from the start to some time before the guard acts."""
        return self._grace - self._margin_scale * (EXIT_MARGIN_S + before_exit)

    @property
    def _margin_scale(self) -> float:
        return min(1.0, self._grace / _MIN_FULL_MARGINS_GRACE_S)

    @property
    def _in_flight(self) -> int:
        runs = self._gate.outstanding + self._peers.waiting_replies
        return self._callers.in_flight + runs

    @property
    def _undelivered_bytes(self) -> int:
        return self._callers.undelivered_bytes + self._peers.undelivered_bytes

    def _is_busy(self, now: float) -> bool:
        if self._in_flight:
            self._unsent.restart()
            return True
        return self._is_unread_by_peers(now) or self._callers.unread_connections > 0

    def _is_unread_by_peers(self, now: float) -> bool:
        return self._unsent.update(now, self._peers.undelivered_bytes)

    @property
    def _is_busy_with_callers(self) -> bool:
        callers = self._callers
        return callers.in_flight > 0 or callers.unread_connections > 0
