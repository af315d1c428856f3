"""Route path: attempts, retries, fences and deadline of one request."""

from __future__ import annotations

from functools import partial
from math import inf
from typing import TYPE_CHECKING

from rattanfork_core.budgets import LocalRequestBudget
from rattanfork_core.request import (
    CallResult,
    FenceVerdict,
    Finish,
    Outcome,
    Proof,
    Reason,
    RequestStateMachine,
    SendCall,
    SendCancel,
    cancel_lead,
    reply_wait,
)
from rattanfork_core.request.commands import Command

from rattanfork_node.http1 import HeldBody
from rattanfork_node.peer import (
    BODY_PARTS_LEVEL,
    MAX_UNPAUSED_BYTES,
    Cancel,
    LinkLostError,
    PeerLink,
    Run,
    RunReply,
)
from rattanfork_node.relay.admitted_request import AdmittedRequest, AttemptRecord
from rattanfork_node.relay.attempt_reasons import (
    INSTANCE_FAILURE_REASONS,
    REACHED_UPSTREAM_REASONS,
)
from rattanfork_node.relay.fencing import fence_attempt
from rattanfork_node.relay.job import Job
from rattanfork_node.relay.retry_limits import (
    MAX_REFUSED_ATTEMPTS,
    MAX_RETRY_DENIALS,
    may_retry_lost_run,
)
from rattanfork_node.relay.run_replies import result_from_reply, store_report

if TYPE_CHECKING:
    from rattanfork_core.membership import Member

    from rattanfork_node.http1 import Exchange
    from rattanfork_node.relay.relay import Relay

_NO_INSTANCES: frozenset[str] = frozenset()
#: Multiple of an instance's mean latency.  If an attempt has waited longer when its
#: deadline passes, it counts as a failure of the instance: time in a queue, which
#: refuses late requests, can't explain such a wait.
_SILENT_LATENCY_FACTOR = 4.0
#: Reasons by which an upstream refuses a request that it has received.  An upload is
#: not sent again then: a byte of it may have reached an upstream.
_UPSTREAM_REFUSAL_REASONS = frozenset((Reason.UPSTREAM_SHED, Reason.STALE_INSTANCE))


class Forwarding:
    """Executes the commands of one request's state machine by callbacks.

    Parameters
    ==========

    relay : Relay
        Components that all requests share.
    exchange : Exchange
        The request, which also receives the response.
    admitted : AdmittedRequest
        Routing and admission decisions on it.
    """

    __slots__ = (
        "_admitted",
        "_answered",
        "_attempt",
        "_attempt_records",
        "_blocked",
        "_cancelled",
        "_exchange",
        "_first_instance",
        "_instance_state",
        "_job",
        "_last_reason",
        "_link",
        "_lost_runs",
        "_machine_or_none",
        "_may_have_arrived",
        "_number",
        "_parent",
        "_relay",
        "_repeated",
        "_retry_denials",
        "_sent_at",
        "_sent_to",
        "_timer",
    )

    def __init__(
        self, relay: Relay, exchange: Exchange, admitted: AdmittedRequest
    ) -> None:
        self._relay = relay
        self._exchange = exchange
        self._admitted = admitted
        self._parent = admitted.parent
        self._blocked = admitted.blocked | admitted.ruled_out
        self._repeated = admitted.parent is not None and admitted.parent.is_repeat
        self._may_have_arrived = False
        self._retry_denials = 0
        self._lost_runs = 0
        self._cancelled = False
        self._attempt = 0
        self._attempt_records: list[AttemptRecord] = []
        self._last_reason = Reason.NONE
        self._link: PeerLink | None = None
        self._job: Job | None = None
        self._number = 0
        self._instance_state = None
        self._sent_at = 0.0
        self._sent_to = ""
        self._answered = False
        self._first_instance = ""
        self._machine_or_none: RequestStateMachine | None = None
        wait = max(0.0, admitted.deadline - relay.clock.now())
        if admitted.route.idempotent:
            # Cancelling its run early would lose a response in the last moment, and
            # its caller may retry whatever the outcome is.
            self._timer = relay.loop.call_later(wait, self._on_deadline)
        else:
            wait -= cancel_lead(wait)
            self._timer = relay.loop.call_later(wait, self._on_cancel_due)

    @property
    def _machine(self) -> RequestStateMachine:
        """The state machine, created once anything but an answer happens.

        Most requests are answered at the first attempt and need none.
        """
        machine = self._machine_or_none
        if machine is None:
            route = self._admitted.route
            budget = LocalRequestBudget(
                self._relay.clock, self._admitted.deadline, route.most_upstreams - 1
            )
            machine = self._machine_or_none = RequestStateMachine(
                budget,
                route.idempotent,
                self._pick_instance,
                may_retry=self._may_retry,
                free_retries=MAX_REFUSED_ATTEMPTS,
            )
            if self._first_instance:
                machine.record_first_attempt(self._first_instance)
        return machine

    @property
    def _finished(self) -> bool:
        """Whether the final result has been determined."""
        machine = self._machine_or_none
        return self._answered or (machine is not None and machine.finished)

    def start(self) -> None:
        """Send the first attempt."""
        self._exchange.on_disconnect = self.on_caller_disconnected
        self._exchange.on_give_up = self.on_give_up
        instance = self._pick_instance(_NO_INSTANCES)
        if instance is None:
            self._execute(self._machine.start())
        else:
            self._first_instance = instance
            self._send(1, instance)

    def on_caller_disconnected(self) -> None:
        """Cancel all work, as the caller no longer waits for the response."""
        if self._answered:
            return
        now = self._relay.clock.now()
        self._update_instance_state(now, failed=False, counted=False)
        self._execute(self._machine.begin_cancel(Reason.CANCELLED))
        self._execute(self._machine.on_caller_disconnected())

    def on_give_up(self) -> None:
        """End the request with what is known, as the node stops."""
        self._begin_cancel(Reason.LEAVING)

    def _pick_instance(self, avoid: frozenset[str]) -> str | None:
        admitted = self._admitted
        picker, operation = admitted.picker, admitted.operation
        # Only for a caller's own request must the instance be fast enough for the
        # time left: a child call that times out is retried, or its run is.
        time_left = inf
        if admitted.parent is None:
            time_left = admitted.deadline - self._relay.clock.now()
        # If all instances are expected to shed the request, it may be sent to any of
        # them, as its gate decides; instances that a rule excludes stay excluded.
        return picker.pick(avoid | self._blocked, operation, time_left) or (
            None if avoid else picker.pick(admitted.ruled_out, operation, time_left)
        )

    def _may_retry(self) -> bool:
        admitted = self._admitted
        if not self._relay.may_send(admitted.deadline, admitted.picker):
            return False
        if (
            self._exchange.upload is not None
            and admitted.route.upload
            and self._last_reason in _UPSTREAM_REFUSAL_REASONS
        ):
            return False
        if self._last_reason is Reason.CONNECTION and not may_retry_lost_run(
            self._lost_runs, self._relay.quarantine, self._exchange
        ):
            return False
        if self._last_reason is Reason.TOO_LATE:
            # Retry only if an instance can still answer in time: an attempt that the
            # timeout cuts off may have run, while this request has not.
            left = admitted.deadline - self._relay.clock.now()
            return left > admitted.picker.fastest_latency
        # The gate that receives the retry checks its retry budget.
        return self._retry_denials < MAX_RETRY_DENIALS

    def _on_cancel_due(self) -> None:
        self._begin_cancel(Reason.DEADLINE)

    def _begin_cancel(self, reason: Reason) -> None:
        """Cancel the attempt in progress, and wait briefly for its result."""
        if self._answered:
            return
        self._timer.cancel()
        left = self._admitted.deadline - self._relay.clock.now()
        self._timer = self._relay.loop.call_later(reply_wait(left), self._on_deadline)
        self._execute(self._machine.begin_cancel(reason))

    def _on_deadline(self) -> None:
        if self._answered:
            return
        self._count_wait()
        if self._cancelled and self._link is not None:
            self._relay.counters.events["relay.cancel-unanswered"] += 1
        # The gate of this node replies to a cancel at once.
        self._execute(self._machine.begin_cancel(Reason.DEADLINE))
        self._execute(self._machine.on_deadline())

    def _count_wait(self) -> None:
        """Count an attempt without a result as a failure if the wait was long."""
        state = self._instance_state
        if state is not None and state.latency:
            # An unresponsive upstream produces no results, so without this no
            # failure would be counted and it would keep looking idle and fast.
            now = self._relay.clock.now()
            waited = now - self._sent_at
            self._update_instance_state(
                now, True, counted=waited > _SILENT_LATENCY_FACTOR * state.latency
            )

    def _execute(self, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, SendCall):
                self._send(command.attempt, command.instance)
            elif isinstance(command, Finish):
                self._finish(command.result)
            elif isinstance(command, SendCancel):
                self._send_cancel()
            else:
                self._send_fence(command.attempt, command.instance)

    def _send(self, attempt: int, instance: str) -> None:
        self._attempt = attempt
        relay = self._relay
        member = relay.directory.member(instance)
        self._instance_state = self._admitted.picker.states.get(instance)
        self._sent_at = relay.clock.now()
        if self._instance_state is not None:
            self._instance_state.on_sent(self._sent_at)
        self._sent_to = instance
        if attempt > 1:
            relay.counters.events["relay.retry"] += 1
        if member is not None and instance == relay.own_name:
            self._submit_locally(member)
            return
        self._job = None
        link = relay.pool.ready_link(member) if member is not None else None
        if link is None:
            self._connect_and_send(member, attempt)
        else:
            self._send_run(link, member)

    def _submit_locally(self, member: Member) -> None:
        exchange = self._exchange
        admitted = self._admitted
        attempt = self._attempt
        self._link = None
        if self._instance_state is not None:
            self._instance_state.busy = self._relay.gate.outstanding
        self._job = Job(
            member.boot,
            admitted.operation,
            exchange.method,
            exchange.target,
            exchange.header_block,
            exchange.body,
            exchange.request_id,
            admitted.rank,
            self._relay.run_deadline(admitted.deadline),
            admitted.route.idempotent,
            self._repeated,
            self._may_have_arrived,
            attempt,
            lambda result: self._on_result(attempt, result),
            account=exchange.account_name,
        )
        if exchange.large_body is not None:
            self._job.large_body = exchange.large_body.open()
            self._job.large_fingerprint = exchange.fingerprint
        self._relay.gate.submit(self._job)

    def _send_run(self, link: PeerLink, member: Member) -> None:
        exchange = self._exchange
        admitted = self._admitted
        attempt = self._attempt
        self._link = link
        self._number = link.next_number()
        relay = self._relay
        left = relay.run_deadline(admitted.deadline) - relay.clock.now()
        reports = relay.upstream_reports
        report = reports.get(member.instance) if link.peer_level else None
        run = Run(
            self._number,
            member.boot,
            admitted.operation,
            exchange.method,
            exchange.target,
            exchange.header_block,
            self._send_large_body(link),
            exchange.request_id,
            float(admitted.rank),
            max(0, int(left * 1000)),
            admitted.route.idempotent,
            self._repeated,
            self._may_have_arrived,
            attempt,
            exchange.account_name,
            *(report or ()),
        )
        link.send_run(run, partial(self._on_reply, attempt, member, link))

    def _send_large_body(self, link: PeerLink) -> bytes:
        """Send a large body in parts; return what the run itself carries.

        On a link whose peer does not read, all but the smallest bodies are large, so
        that its buffer stays small.
        """
        exchange = self._exchange
        body = exchange.large_body
        if link.peer_level < BODY_PARTS_LEVEL:
            return exchange.body if body is None else body.join()
        if body is None:
            if link.is_writable or len(exchange.body) <= MAX_UNPAUSED_BYTES:
                return exchange.body
            body = HeldBody([exchange.body])
        link.send_body(self._number, body.open(), exchange.fingerprint)
        return b""

    def _connect_and_send(self, member: Member | None, attempt: int) -> None:
        """Open a link and send the attempt, unless it has ended by then."""

        async def connect() -> None:
            try:
                if member is None:
                    raise LinkLostError("instance is not in the directory")
                link = await self._relay.pool.open((member.host, member.peer_port))
            except LinkLostError:
                self._on_unsent(attempt, member)
                return
            if self._finished or attempt != self._attempt:
                return
            if link.peer != member.name:
                self._relay.mark_dead(member.name)
                self._on_unsent(attempt, member)
                return
            admitted = self._admitted
            may_send = self._relay.may_send(admitted.deadline, admitted.picker)
            if not may_send or not link.usable:
                # A link that was lost before this task continued would drop the run.
                self._on_unsent(attempt, member)
                return
            self._send_run(link, member)

        self._link = None
        self._number = 0
        self._relay.spawn(connect())

    def _on_unsent(self, attempt: int, member: Member | None) -> None:
        if member is not None:
            self._relay.count_unreachable(member.name)
        result = CallResult(
            Outcome.NOT_RUN,
            Reason.NO_INSTANCE,
            retry_elsewhere=True,
            proof=Proof.UNWRITTEN,
        )
        self._on_result(attempt, result)

    def _on_reply(
        self, attempt: int, member: Member, link: PeerLink, reply: RunReply | None
    ) -> None:
        if reply is None:
            if not self._link.was_written(self._number):
                self._on_unsent(attempt, member)
                return
            now = self._relay.clock.now()
            self._update_instance_state(now, failed=True)
            self._record_attempt(now, Reason.CONNECTION)
            self._last_reason = Reason.CONNECTION
            self._may_have_arrived = True
            if not self._answered:
                self._execute(self._machine.on_connection_lost(attempt))
            return
        store_report(self._relay.upstream_reports, member.instance, reply)
        self._relay.early_shedder.update(
            self._admitted.operation, member.name, reply.cut
        )
        if self._instance_state is not None:
            self._instance_state.busy = reply.busy
        body_parts = link.take_reply_body()
        self._on_result(attempt, result_from_reply(reply, body_parts))

    def _on_result(self, attempt: int, result: CallResult) -> None:
        now = self._relay.clock.now()
        if self._finished:
            self._update_instance_state(now, failed=False, counted=False)
            return
        reason = result.reason
        if reason is Reason.CANCELLED:
            self._count_wait()
        # A refusal within a millisecond would make a limited instance look fast.
        self._update_instance_state(
            now,
            reason in INSTANCE_FAILURE_REASONS,
            reason is not Reason.UPSTREAM_LIMIT,
        )
        self._record_attempt(now, reason, result.status)
        self._last_reason = reason
        if reason is not Reason.NONE:
            self._may_have_arrived |= reason in REACHED_UPSTREAM_REASONS
            self._retry_denials += reason is Reason.NO_REPEAT
            self._lost_runs += reason is Reason.CONNECTION
            if reason is Reason.UPSTREAM_FAILED and result.retry_elsewhere:
                # Another instance may succeed; without a retry the caller gets the
                # upstream's own response.
                result.outcome = Outcome.UNKNOWN
        if 200 <= result.status < 300:
            self._record_dependencies(result)
        if result.outcome is Outcome.ANSWERED and self._machine_or_none is None:
            self._answered = True
            self._finish(result)
        else:
            self._execute(self._machine.on_result(attempt, result))

    def _record_dependencies(self, result: CallResult) -> None:
        admitted = self._admitted
        if self._parent is None:
            self._relay.dependencies.record_run(
                admitted.operation, result.services_reached
            )
        else:
            self._parent.services_reached.add(admitted.service)
            self._parent.services_reached.update(result.services_reached)

    def _update_instance_state(
        self, now: float, failed: bool, counted: bool = True
    ) -> None:
        state, self._instance_state = self._instance_state, None
        if state is None:
            return
        if counted:
            state.on_done(now, self._sent_at, failed, self._admitted.operation)
        else:
            state.on_inconclusive(self._sent_at)

    def _record_attempt(self, now: float, reason: Reason, status: int = 0) -> None:
        """Record how an attempt ended, for the request log; only once per attempt."""
        if not self._sent_to:
            return
        self._attempt_records.append(
            AttemptRecord(self._sent_to, reason, status, now - self._sent_at)
        )
        self._sent_to = ""

    def _send_cancel(self) -> None:
        self._cancelled = True
        if self._job is not None:
            self._relay.gate.cancel(self._job)
        elif self._link is not None:
            self._link.send(Cancel(self._number))
        else:
            # The link is not ready.  The attempt was not written, and won't be once
            # the request is finished.
            unwritten = CallResult(
                Outcome.NOT_RUN, Reason.CANCELLED, proof=Proof.UNWRITTEN
            )
            self._on_result(self._attempt, unwritten)

    def _send_fence(self, attempt: int, instance: str) -> None:
        relay, link, number = self._relay, self._link, self._number
        member = relay.directory.member(instance)

        # From now on, as the reply may come while the fence is pending.
        reply = None if link is None else link.keep(number)

        async def fence() -> None:
            verdict = await fence_attempt(
                relay.pool, relay.counters, member, link, number
            )
            late = None
            if verdict in (None, FenceVerdict.HANDED_OVER):
                # The gate runs it, stands still or is cut off: the reply may come.
                late = None if reply is None else await reply
                if verdict is None:
                    verdict = FenceVerdict.UNKNOWN
            elif link is not None:
                link.forget(number)
            if late is None:
                self._execute(self._machine.on_fence_verdict(attempt, verdict))
            else:
                relay.counters.events["relay.late-reply"] += 1
                result = result_from_reply(late.reply, late.body)
                self._execute(self._machine.on_late_result(attempt, result))

        relay.spawn(fence())

    def _finish(self, result: CallResult) -> None:
        self._timer.cancel()
        if self._cancelled:
            now = self._relay.clock.now()
            self._record_attempt(now, Reason.CANCELLED)
            self._update_instance_state(now, failed=False, counted=False)
            if self._link is not None:
                self._link.forget(self._number)
        # Breaks the reference cycle between this object and the job's callback.
        self._job = None
        self._relay.completion.finish(
            self._exchange, self._admitted, self._attempt_records, result
        )
