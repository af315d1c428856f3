"""One request on its way from this node."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

from rattanfork_core.account import HopAccount
from rattanfork_core.request import (
    CallResult,
    FenceVerdict,
    Finish,
    Outcome,
    Reason,
    RequestStateMachine,
    SendCall,
    SendCancel,
)
from rattanfork_core.request.commands import Command

from rattanfork_node.peer import Cancel, LinkLostError, PeerLink, Run, RunReply
from rattanfork_node.relay.admitted_request import Admitted, Attempted
from rattanfork_node.relay.job import Job

if TYPE_CHECKING:
    from rattanfork_core.membership import Member

    from rattanfork_node.http1 import Exchange
    from rattanfork_node.relay.relay import Relay

#: Seconds that a guard may take to judge an attempt whose link was lost.
_FENCE_TIMEOUT = 0.5
#: Times the usual latency of an instance without an answer, from which a
#: deadline that passes counts against it: beyond what waiting in a queue that
#: refuses late requests can add.
_SILENT = 4.0
#: Refusals after which a request is sent again within its budget.  The budget
#: decides who is; of runs with four calls one in nine that it carried failed for
#: want of a sixth repeat, at upstreams that refused 55 of 100 requests.
_FREE_REFUSALS = 15
#: Gates that may deny one request a repeat before it is given up: their parts of
#: the bound fill alike, and each that is asked costs a message.
_MOST_DENIED = 2
#: Runs of one request that may end with the connection to their upstream.
_MOST_LOST_RUNS = 2
#: Results that say that the request was at an upstream: another attempt is a
#: repeated arrival there.
_ARRIVED = frozenset(
    (
        Reason.UPSTREAM_SHED,
        Reason.UPSTREAM_FAILED,
        Reason.CONNECTION,
        Reason.STALE_INSTANCE,
    )
)
_FAILED = frozenset(
    (
        Reason.UPSTREAM_DOWN,
        Reason.UPSTREAM_SHED,
        Reason.UPSTREAM_FAILED,
        Reason.CONNECTION,
        Reason.NO_INSTANCE,
        Reason.STALE_INSTANCE,
    )
)


class Forwarding:
    """Drives the request machine of one request by callbacks.

    Parameters
    ==========

    relay : Relay
        What all requests share.
    exchange : Exchange
        The request, and the place for its answer.
    admitted : Admitted
        What was decided for it.
    """

    __slots__ = (
        "_admitted",
        "_arrived",
        "_attempt",
        "_attempted",
        "_blocked",
        "_denied",
        "_exchange",
        "_job",
        "_last_reason",
        "_link",
        "_lost_runs",
        "_machine",
        "_number",
        "_parent",
        "_relay",
        "_repeated",
        "_sent_at",
        "_sent_to",
        "_state",
        "_timer",
    )

    def __init__(self, relay: Relay, exchange: Exchange, admitted: Admitted) -> None:
        self._relay = relay
        self._exchange = exchange
        self._admitted = admitted
        self._parent = admitted.parent
        self._blocked = admitted.blocked | admitted.ruled_out
        self._repeated = admitted.parent is not None and admitted.parent.is_repeat
        self._arrived = False
        self._denied = 0
        self._lost_runs = 0
        self._attempt = 0
        self._attempted: list[Attempted] = []
        self._last_reason = Reason.NONE
        self._link: PeerLink | None = None
        self._job: Job | None = None
        self._number = 0
        self._state = None
        self._sent_at = 0.0
        self._sent_to = ""
        route, deadline = admitted.route, admitted.deadline
        account = HopAccount(relay.clock, deadline, route.most_upstreams - 1)
        self._machine = RequestStateMachine(
            account,
            route.idempotent,
            self._pick,
            may_retry=self._may_retry,
            free_retries=_FREE_REFUSALS,
        )
        wait = max(0.0, deadline - relay.clock.now())
        self._timer = relay.loop.call_later(wait, self._on_deadline)

    def start(self) -> None:
        """Send the first attempt."""
        self._exchange.on_gone = self.on_caller_left
        self._carry_out(self._machine.start())

    def on_caller_left(self) -> None:
        """Stop all work: nobody waits for the answer."""
        self._carry_out(self._machine.on_caller_disconnected())

    def _pick(self, avoid: frozenset[str]) -> str | None:
        admitted = self._admitted
        picker, operation = admitted.picker, admitted.operation
        # What is given up deeper down is tried again, or its run is; a caller's
        # own posting can't be.
        patience = inf
        if admitted.parent is None:
            patience = admitted.deadline - self._relay.clock.now()
        # Where all would shed the request, any may still judge for itself; what
        # a rule has ruled out stays ruled out.
        return picker.pick(avoid | self._blocked, operation, patience) or (
            None if avoid else picker.pick(admitted.ruled_out, operation, patience)
        )

    def _may_retry(self) -> bool:
        admitted = self._admitted
        if self._last_reason is Reason.CONNECTION and not self._may_retry_lost():
            return False
        if self._last_reason is Reason.TOO_LATE:
            # Cut off by the timeout, the next attempt would have to be called
            # one that may have run; now it is known that nothing has.
            left = admitted.deadline - self._relay.clock.now()
            return left > admitted.picker.fastest_latency
        # The gate that is asked next decides on a repeated arrival.
        return self._denied < _MOST_DENIED

    def _may_retry_lost(self) -> bool:
        """Return whether another upstream may get what one was lost under."""
        if self._lost_runs >= _MOST_LOST_RUNS:
            return False
        quarantine = self._relay.quarantine
        return not len(quarantine) or quarantine.may_retry(self._exchange.fingerprint)

    def _on_deadline(self) -> None:
        state = self._state
        if state is not None and state.latency:
            # An upstream that has gone silent answers nothing, so no result
            # ever speaks against it, and it would go on looking idle and fast.
            waited = self._relay.clock.now() - self._sent_at
            self._settle(failed=True, counted=waited > _SILENT * state.latency)
        self._carry_out(self._machine.on_deadline())

    def _carry_out(self, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, SendCall):
                self._send(command)
            elif isinstance(command, Finish):
                self._finish(command.result)
            elif isinstance(command, SendCancel):
                self._cancel()
            else:
                self._fence(command.attempt, command.instance)

    def _send(self, command: SendCall) -> None:
        self._attempt = command.attempt
        relay = self._relay
        member = relay.directory.member(command.instance)
        self._state = self._admitted.picker.states.get(command.instance)
        self._sent_at = relay.clock.now()
        if self._state is not None:
            self._state.on_sent(self._sent_at)
        self._sent_to = command.instance
        if command.attempt > 1:
            relay.counters.events["relay.retry"] += 1
        if member is not None and member.name == relay.my_name:
            self._run_here(member)
            return
        self._job = None
        link = relay.pool.ready(member) if member is not None else None
        if link is None:
            self._open(member, command.attempt)
        else:
            self._run_there(link, member)

    def _run_here(self, member: Member) -> None:
        exchange = self._exchange
        admitted = self._admitted
        attempt = self._attempt
        self._link = None
        if self._state is not None:
            self._state.busy = self._relay.gate.outstanding
        self._job = Job(
            member.boot,
            admitted.operation,
            exchange.method,
            exchange.target,
            exchange.block,
            exchange.body,
            exchange.request_id,
            admitted.rank,
            admitted.deadline,
            admitted.route.idempotent,
            self._repeated,
            self._arrived,
            attempt,
            lambda result: self._on_result(attempt, result),
            account=exchange.account_name,
        )
        self._relay.gate.submit(self._job)

    def _run_there(self, link: PeerLink, member: Member) -> None:
        exchange = self._exchange
        admitted = self._admitted
        attempt = self._attempt
        self._link = link
        self._number = link.next_number()
        left = admitted.deadline - self._relay.clock.now()
        run = Run(
            self._number,
            member.boot,
            admitted.operation,
            exchange.method,
            exchange.target,
            exchange.block,
            exchange.body,
            exchange.request_id,
            float(admitted.rank),
            max(0, int(left * 1000)),
            admitted.route.idempotent,
            self._repeated,
            self._arrived,
            attempt,
            exchange.account_name,
        )
        link.run(run, lambda reply: self._on_reply(attempt, member.name, reply))

    def _open(self, member: Member | None, attempt: int) -> None:
        """Make a connection first; the attempt may be over by then."""

        async def connect() -> None:
            try:
                if member is None:
                    raise LinkLostError("the instance is not known")
                link = await self._relay.pool.open((member.host, member.peer_port))
            except LinkLostError:
                self._on_unsent(attempt, member)
                return
            if self._machine.finished or attempt != self._attempt:
                return
            if link.peer != member.name:
                self._relay.bury(member.name)
                self._on_unsent(attempt, member)
                return
            self._run_there(link, member)

        self._link = None
        self._number = 0
        self._relay.spawn(connect())

    def _on_unsent(self, attempt: int, member: Member | None) -> None:
        if member is not None:
            self._relay.suspect(member.name)
        result = CallResult(Outcome.NOT_RUN, Reason.NO_INSTANCE, retry_elsewhere=True)
        self._on_result(attempt, result)

    def _on_reply(self, attempt: int, name: str, reply: RunReply | None) -> None:
        if reply is None:
            self._settle(failed=True)
            self._note(Reason.CONNECTION)
            self._last_reason = Reason.CONNECTION
            self._arrived = True
            self._carry_out(self._machine.on_connection_lost(attempt))
            return
        self._relay.early.update(self._admitted.operation, name, reply.cut)
        if self._state is not None:
            self._state.busy = reply.busy
        result = CallResult(
            Outcome(reply.outcome),
            Reason(reply.reason),
            reply.status,
            body=reply.body,
            retry_elsewhere=reply.retry_elsewhere,
            block=reply.block,
            reach=tuple(reply.reach),
        )
        self._on_result(attempt, result)

    def _on_result(self, attempt: int, result: CallResult) -> None:
        if self._machine.finished:
            self._settle(failed=False, counted=False)
            return
        self._settle(failed=result.reason in _FAILED)
        self._note(result.reason, result.status)
        self._last_reason = result.reason
        self._arrived |= result.reason in _ARRIVED
        self._denied += result.reason is Reason.NO_REPEAT
        self._lost_runs += result.reason is Reason.CONNECTION
        if 200 <= result.status < 300:
            self._note_reach(result)
        if result.reason is Reason.UPSTREAM_FAILED and result.retry_elsewhere:
            # A failure that another instance may do better; should none be
            # asked, the upstream's own answer is what the caller gets.
            result.outcome = Outcome.UNKNOWN
        self._carry_out(self._machine.on_result(attempt, result))

    def _note_reach(self, result: CallResult) -> None:
        admitted = self._admitted
        if self._parent is None:
            self._relay.reach.record_run(admitted.operation, result.reach)
        else:
            self._parent.reached.add(admitted.service)
            self._parent.reached.update(result.reach)

    def _settle(self, failed: bool, counted: bool = True) -> None:
        state, self._state = self._state, None
        if state is None:
            return
        if counted:
            operation = self._admitted.operation
            now = self._relay.clock.now()
            state.on_done(now, self._sent_at, failed, operation)
        else:
            state.on_inconclusive(self._sent_at)

    def _note(self, reason: Reason, status: int = 0) -> None:
        """Keep what an attempt came to, for the log; only its first end counts."""
        if not self._sent_to:
            return
        seconds = self._relay.clock.now() - self._sent_at
        self._attempted.append(Attempted(self._sent_to, reason, status, seconds))
        self._sent_to = ""

    def _cancel(self) -> None:
        self._note(Reason.CANCELLED)
        if self._state is not None:
            self._state.on_inconclusive(self._sent_at)
            self._state = None
        if self._job is not None:
            self._relay.gate.cancel(self._job)
        elif self._link is not None:
            self._link.forget(self._number)
            self._link.send(Cancel(self._number))

    def _fence(self, attempt: int, instance: str) -> None:
        link, number = self._link, self._number
        member = self._relay.directory.member(instance)

        async def fence() -> None:
            verdict = FenceVerdict.UNKNOWN
            try:
                if member is not None and link is not None:
                    async with asyncio.timeout(_FENCE_TIMEOUT):
                        [verdict] = await self._relay.pool.fence_calls(
                            member, link.connection, [number]
                        )
            except (LinkLostError, TimeoutError, ValueError):
                self._relay.counters.events["relay.fence-unanswered"] += 1
            self._carry_out(self._machine.on_fence_verdict(attempt, verdict))

        self._relay.spawn(fence())

    def _finish(self, result: CallResult) -> None:
        self._timer.cancel()
        # The job is bound to this object, and would keep it in a cycle.
        self._job = None
        self._relay.finish(self._exchange, self._admitted, self._attempted, result)
