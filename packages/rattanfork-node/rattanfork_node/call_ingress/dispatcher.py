"""Call path: sends the attempts of a request and collects their results."""

import asyncio
from dataclasses import dataclass

from rattanfork_core.budgets import RequestBudget
from rattanfork_core.clock import Clock
from rattanfork_core.gate_status import ThresholdCache
from rattanfork_core.membership import Member, Membership
from rattanfork_core.request import (
    CallResult,
    FenceVerdict,
    Finish,
    Importance,
    Outcome,
    Reason,
    RequestStateMachine,
    SendCall,
    SendCancel,
    SendFence,
)
from rattanfork_core.request.commands import Command
from rattanfork_core.routing import InstancePicker

from rattanfork_node.call_gate import CallGate, GateRequest
from rattanfork_node.call_ingress.epoch_cache import EpochCache
from rattanfork_node.call_ingress.incoming_request import IncomingRequest
from rattanfork_node.member.directory import InstanceDirectory
from rattanfork_node.peer import Call, Cancel, LinkLostError, PeerLink, PeerPool

_FENCE_TIMEOUT_S = 1.0
#: Failure rate above which the last reported threshold of an instance is ignored.
_MAX_FAILURE_RATE = 0.5


@dataclass(slots=True, eq=False)
class _SentCall:
    """Connection and number of a sent attempt; no link for this node's own gate."""

    link: PeerLink | None
    number: int


@dataclass(slots=True, eq=False)
class CallJob:
    """A request being dispatched, with its limits.

    Parameters
    ==========

    account : RequestBudget
        Deadline, and retries left.
    key : str
        Idempotency key (a ticket), or "".
    threshold_key : str
        Key of the called operation in the table of admission thresholds.
    data_centre : str or None
        Data centre that a rule requires.
    key_is_new : bool
        Whether the key was issued for this attempt, not sent by the caller.
    """

    incoming: IncomingRequest
    account: RequestBudget
    importance: Importance
    rank: float
    idempotent: bool
    key: str
    threshold_key: str
    data_centre: str | None = None
    key_is_new: bool = False


class Dispatcher:
    """Executes the commands of a request's state machine.

    Explanation
    ===========

    The state machine decides on attempts, fences and the result; this class sends
    them to the call gate of the picked instance, over a peer connection or in
    this process.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    membership : Membership
        View of the cluster's members.
    directory : InstanceDirectory
        Members by the service that they serve.
    pool : PeerPool
        Connections to other nodes.
    gate : CallGate
        This node's call gate.
    thresholds : ThresholdCache
        Admission thresholds reported in replies.
    epochs : EpochCache
        Key epochs reported in replies.
    """

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        directory: InstanceDirectory,
        pool: PeerPool,
        gate: CallGate,
        thresholds: ThresholdCache,
        epochs: EpochCache,
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._directory = directory
        self._pool = pool
        self._gate = gate
        self._thresholds = thresholds
        self._epochs = epochs

    async def run(self, job: CallJob, machine: RequestStateMachine) -> CallResult:
        """Run a request and return its result."""
        sent: dict[int, _SentCall] = {}
        commands = machine.start()
        try:
            async with asyncio.timeout(job.account.time_left):
                while True:
                    command = commands[-1]
                    if isinstance(command, Finish):
                        return command.result
                    commands = await self._execute(job, machine, command, sent)
        except TimeoutError:
            return self._cancel_attempts(machine.on_deadline(), sent)
        except asyncio.CancelledError:
            self._cancel_attempts(machine.on_caller_disconnected(), sent)
            raise

    async def fence_key(self, member: Member | None, key: str) -> FenceVerdict:
        """Fence a key at its gate; unknown if the gate does not respond in time."""
        if member is None:
            return FenceVerdict.UNKNOWN
        if member.name == self._membership.me.name:
            return self._gate.fence_key(key)
        try:
            async with asyncio.timeout(_FENCE_TIMEOUT_S):
                return await self._pool.fence_key(member, key)
        except (LinkLostError, TimeoutError):
            return FenceVerdict.UNKNOWN

    async def _execute(
        self,
        job: CallJob,
        machine: RequestStateMachine,
        command: Command,
        sent: dict[int, _SentCall],
    ) -> list[Command]:
        if isinstance(command, SendFence):
            verdict = await self._fence_attempt(job, command, sent.get(command.attempt))
            return machine.on_fence_verdict(command.attempt, verdict)
        picker = self._directory.picker(job.incoming.service)
        state = picker.states.get(command.instance) if picker else None
        started_at = self._clock.now()
        if state is not None:
            state.on_sent(started_at)
        failed = True
        try:
            result = await self._send(job, command, sent)
            failed = result.outcome is Outcome.UNKNOWN or result.reason in (
                Reason.UPSTREAM_DOWN,
                Reason.NO_INSTANCE,
                Reason.STALE_INSTANCE,
            )
        except LinkLostError:
            return machine.on_connection_lost(command.attempt)
        finally:
            if state is not None:
                state.on_done(self._clock.now(), started_at, failed)
        return machine.on_result(command.attempt, result)

    async def _send(
        self, job: CallJob, command: SendCall, sent: dict[int, _SentCall]
    ) -> CallResult:
        member = self._directory.member(command.instance)
        if member is None:
            raise LinkLostError("the instance is not in the directory")
        if member.name == self._membership.me.name:
            sent[command.attempt] = _SentCall(None, 0)
            return await self._run_locally(job, command, member)
        link = self._pool.ready_link(member)
        if link is None:
            link = await self._pool.open((member.host, member.peer_port))
            if link.peer != member.name:
                return _replaced_instance_result(job, command)
        number = link.next_number()
        sent[command.attempt] = _SentCall(link, number)
        reply = await link.ask(self._make_call(job, command, member, number))
        self._thresholds.update(job.threshold_key, member.name, reply.cut)
        self._epochs.update(member.name, reply.epoch)
        return CallResult(
            Outcome(reply.outcome),
            Reason(reply.reason),
            reply.status,
            reply.headers,
            reply.body,
            reply.unused_attempts,
            reply.retry_elsewhere,
            reply.retry_after / 1000,
        )

    async def _run_locally(
        self, job: CallJob, command: SendCall, member: Member
    ) -> CallResult:
        incoming = job.incoming
        result = await self._gate.run(
            GateRequest(
                member.boot,
                incoming.operation,
                incoming.method,
                incoming.path,
                incoming.headers,
                incoming.body,
                incoming.request_id,
                incoming.caller,
                job.importance,
                job.rank,
                job.account.deadline,
                command.delegated_attempts,
                job.key,
                job.idempotent,
                _never_fenced,
            )
        )
        self._thresholds.update(
            job.threshold_key, member.name, self._gate.threshold(incoming.operation)
        )
        return result

    def _make_call(
        self, job: CallJob, command: SendCall, member: Member, number: int
    ) -> Call:
        incoming = job.incoming
        return Call(
            number,
            member.boot,
            incoming.operation,
            incoming.method,
            incoming.path,
            incoming.headers,
            incoming.body,
            incoming.request_id,
            incoming.caller,
            int(job.importance),
            job.rank,
            int(job.account.time_left * 1000),
            command.delegated_attempts,
            job.key,
            job.idempotent,
        )

    async def _fence_attempt(
        self, job: CallJob, command: SendFence, sent: _SentCall | None
    ) -> FenceVerdict:
        member = self._directory.member(command.instance)
        if job.key:
            return await self.fence_key(member, job.key)
        if sent is None:
            # The connection was lost before the call was sent on it.
            return FenceVerdict.NOT_RUN
        if member is None or sent.link is None:
            return FenceVerdict.UNKNOWN
        try:
            async with asyncio.timeout(_FENCE_TIMEOUT_S):
                [verdict] = await self._pool.fence_calls(
                    member, sent.link.connection_id, [sent.number]
                )
        except (LinkLostError, TimeoutError, ValueError):
            return FenceVerdict.UNKNOWN
        return verdict

    def _cancel_attempts(
        self, commands: list[Command], sent: dict[int, _SentCall]
    ) -> CallResult:
        result = CallResult(Outcome.UNKNOWN, Reason.DEADLINE)
        for command in commands:
            if isinstance(command, SendCancel):
                sent_call = sent.get(command.attempt)
                if sent_call is not None and sent_call.link is not None:
                    sent_call.link.send(Cancel(sent_call.number))
                    sent_call.link.forget(sent_call.number)
            elif isinstance(command, Finish):
                result = command.result
        return result


def _replaced_instance_result(job: CallJob, command: SendCall) -> CallResult:
    """Return the result if another process answers at the instance's address.

    The addressed incarnation has ended and did not receive this attempt.  But an
    earlier request with the same key may have run there, so "not run" can be
    reported only for keys issued for this attempt, not for a caller's key.
    """
    if job.key and not job.key_is_new:
        return CallResult(Outcome.UNKNOWN, Reason.KEY_EXPIRED)
    return CallResult(
        Outcome.NOT_RUN,
        Reason.STALE_INSTANCE,
        unused_attempts=command.delegated_attempts,
        retry_elsewhere=True,
    )


def shedding_instances(
    picker: InstancePicker, thresholds: ThresholdCache, threshold_key: str, rank: float
) -> tuple[frozenset[str], float]:
    """Return the instances that shed a rank, and the highest admission threshold."""
    highest_threshold = 0.0
    shedding = []
    for state in picker.subset:
        if state.failure_rate > _MAX_FAILURE_RATE:
            # It no longer responds, so its last reported threshold is outdated.
            continue
        threshold = thresholds.threshold(threshold_key, state.name)
        highest_threshold = max(highest_threshold, threshold)
        if rank >= threshold:
            shedding.append(state.name)
    return frozenset(shedding), highest_threshold


def _never_fenced() -> bool:
    return True
