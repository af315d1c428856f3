"""Where requests enter."""

import asyncio
from random import Random

from rattanfork_core.budgets import RequestBudget, RunContext
from rattanfork_core.budgets.caller_table import CallerTable
from rattanfork_core.burn import BurnMeter
from rattanfork_core.clock import Clock
from rattanfork_core.gate_status import ThresholdCache
from rattanfork_core.idempotency import TicketError, TicketIssuer
from rattanfork_core.membership import Member, MemberStatus
from rattanfork_core.request import (
    CallResult,
    FenceVerdict,
    Outcome,
    Reason,
    RequestStateMachine,
    jittered_retry_after,
    request_rank,
)
from rattanfork_core.request.importance import RANK_LIMIT
from rattanfork_core.revision import RevisionState
from rattanfork_core.routing import InstancePicker
from rattanfork_core.settings import RequestSettings
from rattanfork_platform import PlatformDownError

from rattanfork_node.call_gate import CallGate
from rattanfork_node.call_ingress.dispatcher import Dispatcher, Job, blocked_instances
from rattanfork_node.call_ingress.incoming_request import IncomingRequest
from rattanfork_node.call_ingress.key_assigner import KeyAssigner
from rattanfork_node.call_ingress.key_issuer import KeyIssuer
from rattanfork_node.call_ingress.request_policy import RequestPolicy, select_policy
from rattanfork_node.member.directory import InstanceDirectory
from rattanfork_node.telemetry import Counters

_NOBODY: frozenset[str] = frozenset()


class CallIngress:
    """Takes callers' requests and the upstream's own calls to the end.

    Explanation
    ===========

    A caller's request is classified by the rules, gets its account, and is
    refused at once if the service it is for, or one deeper down, would shed
    it.  A call of the upstream inherits all from the run it belongs to.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        data_centre: str,
        settings: RequestSettings,
        rules: RevisionState,
        directory: InstanceDirectory,
        dispatcher: Dispatcher,
        guard: CallGate,
        hints: ThresholdCache,
        mint: TicketIssuer,
        counters: Counters,
        burn: BurnMeter,
        key_issuer: KeyIssuer,
        key_assigner: KeyAssigner | None,
    ) -> None:
        self._clock = clock
        self._random = random
        self._data_centre = data_centre
        self._settings = settings
        self._rules = rules
        self._directory = directory
        self._dispatcher = dispatcher
        self._guard = guard
        self._hints = hints
        self._mint = mint
        self._counters = counters
        self._burn = burn
        self._issuer = key_issuer
        self._assigner = key_assigner
        self._book = CallerTable(clock)
        self._next_child = 0

    async def issue_keys(self, service: str, count: int) -> list[str]:
        """Return new keys for postings, each bound to one live instance."""
        return await self._issuer.issue_many(service, count)

    async def serve(self, incoming: IncomingRequest) -> CallResult:
        """Bring a request to its final answer."""
        if incoming.context:
            return await self._serve_child(incoming)
        began = self._clock.now()
        result, treatment = await self._serve_root(incoming)
        importance = treatment.importance
        counts = self._counters.requests
        counts[result.outcome.label, importance.label, result.reason.label] += 1
        good = result.outcome is Outcome.ANSWERED and result.status < 500
        took = self._clock.now() - began
        self._burn.add(incoming.service, importance, treatment.rule, good, took)
        return result

    async def _serve_root(
        self, incoming: IncomingRequest
    ) -> tuple[CallResult, RequestPolicy]:
        number = self._book.count_attempt(incoming.request_id, incoming.caller)
        incoming.attempt = max(incoming.attempt, number or 1)
        picker = self._directory.picker(incoming.service)
        hint_key = f"{incoming.service}/{incoming.operation}"
        load = 0.0
        if picker is not None and len(self._hints):
            _, highest = blocked_instances(picker, self._hints, hint_key, RANK_LIMIT)
            load = 1.0 - highest / RANK_LIMIT
        treatment = select_policy(
            incoming, self._rules.rules, self._data_centre, load, self._settings
        )
        rank = request_rank(treatment.importance, incoming.request_id)
        if number is None:
            # Another caller's request ID: nothing of it may be shared.
            refusal = CallResult(Outcome.NOT_RUN, Reason.BAD_REQUEST)
        else:
            refusal = self._refuse_by_rule(incoming, treatment, rank)
        if refusal is not None:
            return await self._prove_refusal(incoming, refusal), treatment
        deadline = self._clock.now() + treatment.deadline
        account = RequestBudget(self._clock, deadline, treatment.attempts)
        job = Job(
            incoming,
            account,
            treatment.importance,
            rank,
            treatment.idempotent,
            "",
            hint_key,
            treatment.action.data_centre,
        )
        return await self._dispatch(job), treatment

    def _refuse_by_rule(
        self, incoming: IncomingRequest, treatment: RequestPolicy, rank: float
    ) -> CallResult | None:
        action = treatment.action
        if not self._rules.ready:
            return self._refusal(Reason.NOT_READY, rank)
        if action.refuse_after is not None:
            after = jittered_retry_after(action.refuse_after, rank, self._random)
            return CallResult(Outcome.NOT_RUN, Reason.RULE, retry_after=after)
        if action.rate is not None:
            who = incoming.caller if action.rate_per_caller else ""
            limit = self._book.rate_limit(treatment.rule, who, action.rate)
            if not limit.take():
                base = max(limit.delay, self._settings.retry_after)
                after = jittered_retry_after(base, rank, self._random)
                return CallResult(Outcome.NOT_RUN, Reason.LIMIT, retry_after=after)
        budget = self._book.retry_budget(f"caller:{incoming.caller}")
        if incoming.attempt == 1:
            budget.earn()
        elif not budget.spend():
            return self._refusal(Reason.RETRY_BUDGET, rank)
        return None

    async def _serve_child(self, incoming: IncomingRequest) -> CallResult:
        context = self._guard.find_context(incoming.context)
        if context is None or context.ended:
            # The run it belongs to is over: nobody would see the answer.
            self._counters.events["child.orphaned"] += 1
            return CallResult(Outcome.NOT_RUN, Reason.CANCELLED)
        incoming.request_id = context.request_id
        incoming.caller = context.caller
        rank = request_rank(context.importance, context.request_id)
        deadline = context.account.deadline
        if incoming.timeout is not None:
            deadline = min(deadline, self._clock.now() + incoming.timeout)
        lent = context.account.delegate()
        account = RequestBudget(self._clock, deadline, lent)
        job = Job(
            incoming,
            account,
            context.importance,
            rank,
            incoming.idempotent,
            "",
            f"{incoming.service}/{incoming.operation}",
        )
        self._next_child += 1
        number = self._next_child
        task = asyncio.current_task()
        context.cancel_callbacks[number] = task.cancel
        try:
            result = await self._dispatch(job)
        finally:
            context.cancel_callbacks.pop(number, None)
        context.account.reclaim(lent, account.attempts)
        self._pass_up(context, job, result)
        return result

    def _pass_up(self, context: RunContext, job: Job, result: CallResult) -> None:
        picker = self._directory.picker(job.incoming.service)
        if picker is not None:
            _, highest = blocked_instances(picker, self._hints, job.hint_key, job.rank)
            context.on_threshold(highest)
        if result.outcome is not Outcome.ANSWERED or result.retry_after:
            context.downstream_retry_after = max(
                context.downstream_retry_after, result.retry_after
            )

    async def _dispatch(self, job: Job) -> CallResult:
        incoming = job.incoming
        picker = self._directory.picker(incoming.service)
        if picker is None:
            return await self._prove_refusal(
                incoming, self._refusal(Reason.NO_INSTANCE, job.rank)
            )
        if not job.idempotent:
            return await self._dispatch_keyed(job)
        outside = _outside(picker, job.data_centre)
        blocked = outside
        if len(self._hints):
            blocked, highest = blocked_instances(
                picker, self._hints, job.hint_key, job.rank
            )
            blocked |= outside
            if job.rank >= highest and picker.subset:
                probed = self._probe(picker, job.hint_key, job.rank)
                if probed is None:
                    return self._refusal(Reason.SHED_EARLY, job.rank)
                blocked = blocked - {probed}
        budget = self._book.retry_budget(f"target:{incoming.service}")
        budget.earn()

        def pick(avoid: frozenset[str]) -> str | None:
            return picker.pick(avoid | blocked) or (
                None if avoid else picker.pick(outside)
            )

        machine = RequestStateMachine(job.account, True, pick, may_retry=budget.spend)
        return self._finish(job, await self._dispatcher.run(job, machine))

    def _probe(self, picker: InstancePicker, hint_key: str, rank: float) -> str | None:
        for state in picker.subset:
            if self._hints.allow_probe(hint_key, state.name, rank):
                return state.name
        return None

    async def _dispatch_keyed(self, job: Job) -> CallResult:
        incoming = job.incoming
        if incoming.key:
            found = await self._ticket(incoming, job.rank)
            if isinstance(found, CallResult):
                return found
            job.key = found
            return await self._run_ticket(job)
        # Without a key of the caller's, each attempt gets a key of its own:
        # another is made only once the last is proved not run.
        result = CallResult(Outcome.NOT_RUN, Reason.NO_INSTANCE)
        picker = self._directory.picker(incoming.service)
        avoid = _outside(picker, job.data_centre)
        while not job.account.expired:
            member = self._pick_member(incoming.service, avoid)
            if member is None:
                break
            avoid = avoid | {member.name}
            key = await self._issuer.issue(member)
            if key is None:
                continue
            job.key, job.key_is_new = key, True
            result = await self._run_ticket(job)
            again = result.outcome is Outcome.NOT_RUN and result.retry_elsewhere
            if not again or not job.account.spend():
                break
        return self._finish(job, result)

    async def _ticket(self, incoming: IncomingRequest, rank: float) -> str | CallResult:
        try:
            self._mint.parse(incoming.key)
        except TicketError:
            return await self._assigned(incoming, rank)
        return incoming.key

    async def _assigned(
        self, incoming: IncomingRequest, rank: float
    ) -> str | CallResult:
        if self._assigner is None:
            return CallResult(Outcome.NOT_RUN, Reason.BAD_REQUEST)
        member = self._pick_member(incoming.service, _NOBODY)
        if member is None:
            return CallResult(Outcome.UNKNOWN, Reason.NO_INSTANCE)
        ticket = await self._issuer.issue(member)
        if ticket is None:
            return CallResult(Outcome.UNKNOWN, Reason.CONNECTION)
        try:
            return await self._assigner.assign(
                incoming.service, incoming.key, incoming.caller, ticket
            )
        except PermissionError:
            return CallResult(Outcome.NOT_RUN, Reason.KEY_MISUSED)
        except PlatformDownError:
            # This copy is not run.  Another copy of the same key may be on
            # its way at another node and run later, so "not run" would not
            # be true of the key.
            result = self._refusal(Reason.STORE_DOWN, rank)
            result.outcome = Outcome.UNKNOWN
            return result

    async def _run_ticket(self, job: Job) -> CallResult:
        ticket = self._mint.parse(job.key)
        if ticket.service != job.incoming.service:
            return CallResult(Outcome.NOT_RUN, Reason.KEY_MISUSED)
        name = f"{ticket.instance}@{ticket.boot}"
        machine = RequestStateMachine(job.account, False, _nobody, pinned=name)
        result = await self._dispatcher.run(job, machine)
        return self._finish(job, result)

    async def _prove_refusal(
        self, incoming: IncomingRequest, result: CallResult
    ) -> CallResult:
        """Turn a refusal here into one that holds for the key as well."""
        if not incoming.key or result.reason is Reason.BAD_REQUEST:
            return result
        try:
            ticket = self._mint.parse(incoming.key)
        except TicketError:
            result.outcome = Outcome.UNKNOWN
            return result
        member = self._directory.member(f"{ticket.instance}@{ticket.boot}")
        verdict = await self._dispatcher.fence_key(member, incoming.key)
        if verdict is not FenceVerdict.NOT_RUN:
            result.outcome = Outcome.UNKNOWN
        return result

    def _pick_member(self, service: str, avoid: frozenset[str]) -> Member | None:
        picker = self._directory.picker(service)
        name = picker.pick(avoid) if picker is not None else None
        member = self._directory.member(name) if name else None
        if member is None or member.status == MemberStatus.DEAD:
            return None
        return member

    def _finish(self, job: Job, result: CallResult) -> CallResult:
        if result.outcome is not Outcome.ANSWERED and not result.retry_after:
            base = self._settings.retry_after
            result.retry_after = jittered_retry_after(base, job.rank, self._random)
        return result

    def _refusal(self, reason: Reason, rank: float) -> CallResult:
        base = self._settings.retry_after
        after = jittered_retry_after(base, rank, self._random)
        return CallResult(Outcome.NOT_RUN, reason, retry_after=after)


def _outside(picker: InstancePicker, data_centre: str | None) -> frozenset[str]:
    """Return the instances that a rule rules out by their data centre."""
    if data_centre is None:
        return _NOBODY
    return picker.instances_outside(data_centre)


def _nobody(avoid: frozenset[str]) -> str | None:
    return None
