"""Carries out what a request machine asks."""

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

_FENCE_TIMEOUT = 1.0
_MOSTLY_FAILING = 0.5


@dataclass(slots=True, eq=False)
class _Sent:
    """Where an attempt went; no link stands for this node's own guard."""

    link: PeerLink | None
    number: int


@dataclass(slots=True, eq=False)
class Job:
    """One request on its way."""

    incoming: IncomingRequest
    account: RequestBudget
    importance: Importance
    rank: float
    idempotent: bool
    key: str
    hint_key: str
    data_centre: str | None = None
    key_is_new: bool = False


class Dispatcher:
    """Sends the attempts of requests and brings their answers.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    membership : Membership
        Who is there.
    directory : InstanceDirectory
        Who serves what.
    pool : PeerPool
        Connections to other nodes.
    guard : CallGate
        This node's own guard.
    hints : ThresholdCache
        Where thresholds heard on replies are kept.
    epochs : EpochCache
        Where the guards' epochs of keys are kept.
    """

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        directory: InstanceDirectory,
        pool: PeerPool,
        guard: CallGate,
        hints: ThresholdCache,
        epochs: EpochCache,
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._directory = directory
        self._pool = pool
        self._guard = guard
        self._hints = hints
        self._epochs = epochs

    async def run(self, job: Job, machine: RequestStateMachine) -> CallResult:
        """Bring a request to its final answer."""
        sent: dict[int, _Sent] = {}
        commands = machine.start()
        try:
            async with asyncio.timeout(job.account.time_left):
                while True:
                    command = commands[-1]
                    if isinstance(command, Finish):
                        return command.result
                    commands = await self._step(job, machine, command, sent)
        except TimeoutError:
            return self._give_up(machine.on_deadline(), sent)
        except asyncio.CancelledError:
            self._give_up(machine.on_caller_disconnected(), sent)
            raise

    async def fence_key(self, member: Member | None, key: str) -> FenceVerdict:
        """Ask the guard of a key to refuse it from now on."""
        if member is None:
            return FenceVerdict.UNKNOWN
        if member.name == self._membership.me.name:
            return self._guard.fence_key(key)
        try:
            async with asyncio.timeout(_FENCE_TIMEOUT):
                return await self._pool.fence_key(member, key)
        except (LinkLostError, TimeoutError):
            return FenceVerdict.UNKNOWN

    async def _step(
        self,
        job: Job,
        machine: RequestStateMachine,
        command: Command,
        sent: dict[int, _Sent],
    ) -> list[Command]:
        if isinstance(command, SendFence):
            verdict = await self._fence(job, command, sent.get(command.attempt))
            return machine.on_fence_verdict(command.attempt, verdict)
        picker = self._directory.picker(job.incoming.service)
        state = picker.states.get(command.instance) if picker else None
        began = self._clock.now()
        if state is not None:
            state.on_sent(began)
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
                state.on_done(self._clock.now(), began, failed)
        return machine.on_result(command.attempt, result)

    async def _send(
        self, job: Job, command: SendCall, sent: dict[int, _Sent]
    ) -> CallResult:
        member = self._directory.member(command.instance)
        if member is None:
            raise LinkLostError("the instance is not known")
        if member.name == self._membership.me.name:
            sent[command.attempt] = _Sent(None, 0)
            return await self._run_here(job, command, member)
        link = self._pool.ready_link(member)
        if link is None:
            link = await self._pool.open((member.host, member.peer_port))
            if link.peer != member.name:
                return _gone(job, command)
        number = link.next_number()
        sent[command.attempt] = _Sent(link, number)
        reply = await link.ask(self._call(job, command, member, number))
        self._hints.update(job.hint_key, member.name, reply.cut)
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

    async def _run_here(
        self, job: Job, command: SendCall, member: Member
    ) -> CallResult:
        incoming = job.incoming
        result = await self._guard.run(
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
                command.lent_attempts,
                job.key,
                job.idempotent,
                _always,
            )
        )
        self._hints.update(
            job.hint_key, member.name, self._guard.threshold(incoming.operation)
        )
        return result

    def _call(self, job: Job, command: SendCall, member: Member, number: int) -> Call:
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
            command.lent_attempts,
            job.key,
            job.idempotent,
        )

    async def _fence(
        self, job: Job, command: SendFence, sent: _Sent | None
    ) -> FenceVerdict:
        member = self._directory.member(command.instance)
        if job.key:
            return await self.fence_key(member, job.key)
        if sent is None:
            # The connection was lost before the call was written to it.
            return FenceVerdict.NOT_RUN
        if member is None or sent.link is None:
            return FenceVerdict.UNKNOWN
        try:
            async with asyncio.timeout(_FENCE_TIMEOUT):
                [verdict] = await self._pool.fence_calls(
                    member, sent.link.connection_id, [sent.number]
                )
        except (LinkLostError, TimeoutError, ValueError):
            return FenceVerdict.UNKNOWN
        return verdict

    def _give_up(self, commands: list[Command], sent: dict[int, _Sent]) -> CallResult:
        result = CallResult(Outcome.UNKNOWN, Reason.DEADLINE)
        for command in commands:
            if isinstance(command, SendCancel):
                where = sent.get(command.attempt)
                if where is not None and where.link is not None:
                    where.link.send(Cancel(where.number))
                    where.link.forget(where.number)
            elif isinstance(command, Finish):
                result = command.result
        return result


def _gone(job: Job, command: SendCall) -> CallResult:
    """Return what is known when another process answers at the address.

    The process that was meant is gone, and has not seen this attempt.  But a
    key may have been sent to it before, and have run: of a key that a caller
    brought, "not run" would be a guess.
    """
    if job.key and not job.key_is_new:
        return CallResult(Outcome.UNKNOWN, Reason.KEY_EXPIRED)
    return CallResult(
        Outcome.NOT_RUN,
        Reason.STALE_INSTANCE,
        unused_attempts=command.lent_attempts,
        retry_elsewhere=True,
    )


def blocked_instances(
    picker: InstancePicker, hints: ThresholdCache, hint_key: str, rank: float
) -> tuple[frozenset[str], float]:
    """Return the instances that would shed a rank, and the highest cut."""
    highest = 0.0
    blocked = []
    for state in picker.subset:
        if state.failure_rate > _MOSTLY_FAILING:
            # What it last said of its threshold died with it.
            continue
        cut = hints.threshold(hint_key, state.name)
        highest = max(highest, cut)
        if rank >= cut:
            blocked.append(state.name)
    return frozenset(blocked), highest


def _always() -> bool:
    return True
