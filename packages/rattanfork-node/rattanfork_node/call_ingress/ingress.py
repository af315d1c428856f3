"""Call path: entry point of callers' requests and of upstreams' child calls."""

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
from rattanfork_node.call_ingress.dispatcher import (
    CallJob,
    Dispatcher,
    shedding_instances,
)
from rattanfork_node.call_ingress.incoming_request import IncomingRequest
from rattanfork_node.call_ingress.key_assigner import KeyAssigner
from rattanfork_node.call_ingress.key_issuer import KeyIssuer
from rattanfork_node.call_ingress.request_policy import RequestPolicy, select_policy
from rattanfork_node.member.directory import InstanceDirectory
from rattanfork_node.telemetry import Counters

_NO_INSTANCES: frozenset[str] = frozenset()


class CallIngress:
    """Serves callers' requests and the child calls of this node's upstream.

    Explanation
    ===========

    A caller's request gets its importance, deadline and granted retries from the
    rules.  It is refused at once if the called service, or one downstream of it,
    is known to shed requests of its rank.

    A child call is a request that the upstream sends while it runs a request; it
    names that run by its context token and inherits its importance, deadline and
    retries.
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
        gate: CallGate,
        thresholds: ThresholdCache,
        ticket_issuer: TicketIssuer,
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
        self._gate = gate
        self._thresholds = thresholds
        self._ticket_issuer = ticket_issuer
        self._counters = counters
        self._burn = burn
        self._key_issuer = key_issuer
        self._key_assigner = key_assigner
        self._callers = CallerTable(clock)
        self._last_child_number = 0

    async def issue_keys(self, service: str, count: int) -> list[str]:
        """Return new idempotency keys, each bound to one live instance."""
        return await self._key_issuer.issue_many(service, count)

    async def serve(self, incoming: IncomingRequest) -> CallResult:
        """Run a request and return its result."""
        if incoming.context:
            return await self._serve_child_call(incoming)
        started_at = self._clock.now()
        result, policy = await self._serve_caller_request(incoming)
        importance = policy.importance
        counts = self._counters.requests
        counts[result.outcome.label, importance.label, result.reason.label] += 1
        good = result.outcome is Outcome.ANSWERED and result.status < 500
        duration = self._clock.now() - started_at
        self._burn.add(incoming.service, importance, policy.rule, good, duration)
        return result

    async def _serve_caller_request(
        self, incoming: IncomingRequest
    ) -> tuple[CallResult, RequestPolicy]:
        number = self._callers.count_attempt(incoming.request_id, incoming.caller)
        incoming.attempt = max(incoming.attempt, number or 1)
        picker = self._directory.picker(incoming.service)
        threshold_key = f"{incoming.service}/{incoming.operation}"
        load = 0.0
        if picker is not None and len(self._thresholds):
            _, highest_threshold = shedding_instances(
                picker, self._thresholds, threshold_key, RANK_LIMIT
            )
            load = 1.0 - highest_threshold / RANK_LIMIT
        policy = select_policy(
            incoming, self._rules.rules, self._data_centre, load, self._settings
        )
        rank = request_rank(policy.importance, incoming.request_id)
        if number is None:
            # The request ID is in use by another caller, and results must not be
            # shared between callers.
            refusal = CallResult(Outcome.NOT_RUN, Reason.BAD_REQUEST)
        else:
            refusal = self._refuse_by_policy(incoming, policy, rank)
        if refusal is not None:
            return await self._fence_refused_key(incoming, refusal), policy
        deadline = self._clock.now() + policy.deadline
        request_budget = RequestBudget(self._clock, deadline, policy.attempts)
        job = CallJob(
            incoming,
            request_budget,
            policy.importance,
            rank,
            policy.idempotent,
            "",
            threshold_key,
            policy.action.data_centre,
        )
        return await self._dispatch(job), policy

    def _refuse_by_policy(
        self, incoming: IncomingRequest, policy: RequestPolicy, rank: float
    ) -> CallResult | None:
        action = policy.action
        if not self._rules.ready:
            return self._refusal(Reason.NOT_READY, rank)
        if action.refuse_after is not None:
            after = jittered_retry_after(action.refuse_after, rank, self._random)
            return CallResult(Outcome.NOT_RUN, Reason.RULE, retry_after=after)
        if action.rate is not None:
            limited_caller = incoming.caller if action.rate_per_caller else ""
            limit = self._callers.rate_limit(policy.rule, limited_caller, action.rate)
            if not limit.take():
                base = max(limit.delay, self._settings.retry_after)
                after = jittered_retry_after(base, rank, self._random)
                return CallResult(Outcome.NOT_RUN, Reason.LIMIT, retry_after=after)
        budget = self._callers.retry_budget(f"caller:{incoming.caller}")
        if incoming.attempt == 1:
            budget.earn()
        elif not budget.spend():
            return self._refusal(Reason.RETRY_BUDGET, rank)
        return None

    async def _serve_child_call(self, incoming: IncomingRequest) -> CallResult:
        context = self._gate.find_context(incoming.context)
        if context is None or context.ended:
            # The parent run has ended, so nobody would receive the response.
            self._counters.events["child.orphaned"] += 1
            return CallResult(Outcome.NOT_RUN, Reason.CANCELLED)
        incoming.request_id = context.request_id
        incoming.caller = context.caller
        rank = request_rank(context.importance, context.request_id)
        deadline = context.account.deadline
        if incoming.timeout is not None:
            deadline = min(deadline, self._clock.now() + incoming.timeout)
        lent = context.account.delegate()
        request_budget = RequestBudget(self._clock, deadline, lent)
        job = CallJob(
            incoming,
            request_budget,
            context.importance,
            rank,
            incoming.idempotent,
            "",
            f"{incoming.service}/{incoming.operation}",
        )
        self._last_child_number += 1
        number = self._last_child_number
        task = asyncio.current_task()
        context.cancel_callbacks[number] = task.cancel
        try:
            result = await self._dispatch(job)
        finally:
            context.cancel_callbacks.pop(number, None)
        context.account.reclaim(lent, request_budget.attempts)
        self._report_to_parent(context, job, result)
        return result

    def _report_to_parent(
        self, context: RunContext, job: CallJob, result: CallResult
    ) -> None:
        picker = self._directory.picker(job.incoming.service)
        if picker is not None:
            _, highest_threshold = shedding_instances(
                picker, self._thresholds, job.threshold_key, job.rank
            )
            context.on_threshold(highest_threshold)
        if result.outcome is not Outcome.ANSWERED or result.retry_after:
            context.downstream_retry_after = max(
                context.downstream_retry_after, result.retry_after
            )

    async def _dispatch(self, job: CallJob) -> CallResult:
        incoming = job.incoming
        picker = self._directory.picker(incoming.service)
        if picker is None:
            return await self._fence_refused_key(
                incoming, self._refusal(Reason.NO_INSTANCE, job.rank)
            )
        if not job.idempotent:
            return await self._dispatch_keyed(job)
        outside = _instances_outside(picker, job.data_centre)
        blocked = outside
        if len(self._thresholds):
            blocked, highest_threshold = shedding_instances(
                picker, self._thresholds, job.threshold_key, job.rank
            )
            blocked |= outside
            if job.rank >= highest_threshold and picker.subset:
                probed = self._pick_probe(picker, job.threshold_key, job.rank)
                if probed is None:
                    return self._refusal(Reason.SHED_EARLY, job.rank)
                blocked = blocked - {probed}
        budget = self._callers.retry_budget(f"target:{incoming.service}")
        budget.earn()

        def pick(avoid: frozenset[str]) -> str | None:
            return picker.pick(avoid | blocked) or (
                None if avoid else picker.pick(outside)
            )

        machine = RequestStateMachine(job.account, True, pick, may_retry=budget.spend)
        return self._with_retry_after(job, await self._dispatcher.run(job, machine))

    def _pick_probe(
        self, picker: InstancePicker, threshold_key: str, rank: float
    ) -> str | None:
        for state in picker.subset:
            if self._thresholds.allow_probe(threshold_key, state.name, rank):
                return state.name
        return None

    async def _dispatch_keyed(self, job: CallJob) -> CallResult:
        incoming = job.incoming
        if incoming.key:
            resolved = await self._resolve_ticket(incoming, job.rank)
            if isinstance(resolved, CallResult):
                return resolved
            job.key = resolved
            return await self._run_with_ticket(job)
        # Without a key from the caller, each attempt gets its own key; the next
        # attempt is made only if the previous one is proved not run.
        result = CallResult(Outcome.NOT_RUN, Reason.NO_INSTANCE)
        picker = self._directory.picker(incoming.service)
        avoid = _instances_outside(picker, job.data_centre)
        while not job.account.expired:
            member = self._pick_member(incoming.service, avoid)
            if member is None:
                break
            avoid = avoid | {member.name}
            key = await self._key_issuer.issue(member)
            if key is None:
                continue
            job.key, job.key_is_new = key, True
            result = await self._run_with_ticket(job)
            retry = result.outcome is Outcome.NOT_RUN and result.retry_elsewhere
            if not retry or not job.account.spend():
                break
        return self._with_retry_after(job, result)

    async def _resolve_ticket(
        self, incoming: IncomingRequest, rank: float
    ) -> str | CallResult:
        try:
            self._ticket_issuer.parse(incoming.key)
        except TicketError:
            return await self._assign_ticket(incoming, rank)
        return incoming.key

    async def _assign_ticket(
        self, incoming: IncomingRequest, rank: float
    ) -> str | CallResult:
        if self._key_assigner is None:
            return CallResult(Outcome.NOT_RUN, Reason.BAD_REQUEST)
        member = self._pick_member(incoming.service, _NO_INSTANCES)
        if member is None:
            return CallResult(Outcome.UNKNOWN, Reason.NO_INSTANCE)
        ticket = await self._key_issuer.issue(member)
        if ticket is None:
            return CallResult(Outcome.UNKNOWN, Reason.CONNECTION)
        try:
            return await self._key_assigner.assign(
                incoming.service, incoming.key, incoming.caller, ticket
            )
        except PermissionError:
            return CallResult(Outcome.NOT_RUN, Reason.KEY_MISUSED)
        except PlatformDownError:
            # This request is not run, but another node may be about to run one
            # with the same key, so "not run" can't be reported for the key.
            result = self._refusal(Reason.STORE_DOWN, rank)
            result.outcome = Outcome.UNKNOWN
            return result

    async def _run_with_ticket(self, job: CallJob) -> CallResult:
        ticket = self._ticket_issuer.parse(job.key)
        if ticket.service != job.incoming.service:
            return CallResult(Outcome.NOT_RUN, Reason.KEY_MISUSED)
        name = f"{ticket.instance}@{ticket.boot}"
        machine = RequestStateMachine(job.account, False, _pick_none, pinned=name)
        result = await self._dispatcher.run(job, machine)
        return self._with_retry_after(job, result)

    async def _fence_refused_key(
        self, incoming: IncomingRequest, result: CallResult
    ) -> CallResult:
        """Fence the key of a refused request; report "unknown" if that fails.

        "Not run" holds for the key only if no other request with it can run.
        """
        if not incoming.key or result.reason is Reason.BAD_REQUEST:
            return result
        try:
            ticket = self._ticket_issuer.parse(incoming.key)
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

    def _with_retry_after(self, job: CallJob, result: CallResult) -> CallResult:
        if result.outcome is not Outcome.ANSWERED and not result.retry_after:
            base = self._settings.retry_after
            result.retry_after = jittered_retry_after(base, job.rank, self._random)
        return result

    def _refusal(self, reason: Reason, rank: float) -> CallResult:
        base = self._settings.retry_after
        after = jittered_retry_after(base, rank, self._random)
        return CallResult(Outcome.NOT_RUN, reason, retry_after=after)


def _instances_outside(
    picker: InstancePicker, data_centre: str | None
) -> frozenset[str]:
    """Return the instances outside the data centre that a rule requires."""
    if data_centre is None:
        return _NO_INSTANCES
    return picker.instances_outside(data_centre)


def _pick_none(avoid: frozenset[str]) -> str | None:
    return None
