"""The guard of one upstream instance."""

import asyncio
from collections.abc import Iterable
from dataclasses import replace
from random import Random

import aiohttp
from rattanfork_core.admission import (
    AdmissionController,
    AdmissionSettings,
    Decision,
    Start,
    Waiter,
)
from rattanfork_core.budgets import RunContext
from rattanfork_core.clock import Clock
from rattanfork_core.gate_status import ThresholdCache
from rattanfork_core.hashing import hash64
from rattanfork_core.idempotency import (
    AlreadyAnswered,
    JoinRunning,
    KeyRegistry,
    RefuseKey,
    RunRecord,
    TicketError,
    TicketIssuer,
)
from rattanfork_core.request import (
    CallResult,
    FenceVerdict,
    Outcome,
    Reason,
    jittered_retry_after,
)

from rattanfork_node.call_gate.exchange import (
    answered,
    new_context,
    upstream_headers,
)
from rattanfork_node.call_gate.request import GateRequest
from rattanfork_node.call_gate.upstream_client import (
    UpstreamClient,
    UpstreamRefusedError,
    UpstreamShedError,
    UpstreamTooLargeError,
)
from rattanfork_node.telemetry import Counters

_ELSEWHERE = frozenset(
    (
        Reason.LEAVING,
        Reason.STALE_INSTANCE,
        Reason.SHED,
        Reason.UPSTREAM_DOWN,
        Reason.NO_INSTANCE,
    )
)


class CallGate:
    """Stands directly in front of the upstream instance.

    Explanation
    ===========

    Nothing else hands requests to the upstream, so the guard alone can say
    truthfully that a request was not run.  It admits, queues, runs at most
    once, cancels and drains; the decisions are made in the core.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    instance, boot : str
        The instance and this incarnation of its guard.
    mint : TicketIssuer
        Reads keys.
    admission : AdmissionSettings
        Bounds of admission.
    counters : Counters
        What happened.
    random : Random
        Source of the spread of Retry-After.
    """

    def __init__(
        self,
        clock: Clock,
        instance: str,
        boot: str,
        mint: TicketIssuer,
        admission: AdmissionSettings,
        counters: Counters,
        random: Random,
    ) -> None:
        self._clock = clock
        self._boot = boot
        self._mint = mint
        self._settings = admission
        self._admission = AdmissionController(clock, admission)
        self._ledger = KeyRegistry(clock, instance, boot)
        self._deep_cuts = ThresholdCache(clock)
        self._counters = counters
        self._random = random
        self._upstream: UpstreamClient | None = None
        self._starts: dict[int, asyncio.Future[Reason]] = {}
        self._joins: dict[str, asyncio.Future[CallResult]] = {}
        self._contexts: dict[str, RunContext] = {}
        self._background: set[asyncio.Task] = set()
        self._next_key = 0
        self._refused_in_a_row = 0

    @property
    def consecutive_refusals(self) -> int:
        """Connections that the upstream refused since it last took one."""
        return self._refused_in_a_row

    @property
    def admission(self) -> AdmissionController:
        """The admission decisions."""
        return self._admission

    @property
    def ledger(self) -> KeyRegistry:
        """The memory of keys."""
        return self._ledger

    @property
    def outstanding(self) -> int:
        """Requests waiting or running."""
        return self._admission.running + self._admission.waiting

    @property
    def has_upstream(self) -> bool:
        """Whether there is an upstream."""
        return self._upstream is not None

    def attach(self, upstream: UpstreamClient | None) -> None:
        """Take an upstream that announced itself, or None when it is gone."""
        self._upstream = upstream
        self._refused_in_a_row = 0

    def find_context(self, token: str) -> RunContext | None:
        """Return the run that a child call belongs to."""
        return self._contexts.get(token)

    def threshold(self, operation: str) -> float:
        """Return the threshold to announce: the guard's or a deeper one."""
        return min(self._admission.threshold, self._deep_cuts.threshold(operation, ""))

    def drain(self) -> None:
        """Take no new work."""
        self._apply(self._admission.drain())

    def tick(self) -> None:
        """Carry admission on."""
        self._apply(self._admission.tick())

    def fence_key(self, key: str) -> FenceVerdict:
        """Refuse a key from now on, if it was not handed over."""
        try:
            ticket = self._mint.parse(key)
        except TicketError:
            return FenceVerdict.UNKNOWN
        return self._ledger.fence(key, ticket)

    async def run(self, request: GateRequest) -> CallResult:
        """Run a request, and return its answer or why there is none."""
        if request.key:
            # What is said of a key is said of all its copies, so nothing is
            # refused here before the ledger has been asked.
            result = await self._run_keyed(request)
        elif request.boot != self._boot:
            result = self._refusal(request, Reason.STALE_INSTANCE)
        else:
            result = await self._admit_and_run(request, None)
        self._counters.calls[result.outcome.label, result.reason.label] += 1
        return result

    async def wait_idle(self) -> None:
        """Wait until nothing waits or runs."""
        while self.outstanding or self._background:
            await asyncio.sleep(0.02)

    async def _run_keyed(self, request: GateRequest) -> CallResult:
        try:
            ticket = self._mint.parse(request.key)
        except TicketError:
            return self._refusal(request, Reason.BAD_REQUEST)
        digest = hash64(f"{request.method} {request.path}") ^ hash64(request.body.hex())
        verdict = self._ledger.on_request(request.key, ticket, request.caller, digest)
        if isinstance(verdict, RefuseKey):
            return CallResult(verdict.outcome, verdict.reason)
        if isinstance(verdict, AlreadyAnswered):
            self._counters.events["key.repeated"] += 1
            return replace(verdict.result, unused_attempts=request.attempts)
        if isinstance(verdict, JoinRunning):
            self._counters.events["key.joined"] += 1
            return await self._join(request)
        return await self._run_new_key(request, verdict.record)

    async def _run_new_key(self, request: GateRequest, record: RunRecord) -> CallResult:
        # A run under a key goes on when its caller leaves, for the answer is
        # kept for the caller's next attempt.
        future = asyncio.get_running_loop().create_future()
        self._joins[request.key] = future
        task = asyncio.ensure_future(self._admit_and_run(request, record))
        self._background.add(task)

        def done(task: asyncio.Task) -> None:
            self._background.discard(task)
            self._joins.pop(request.key, None)
            if task.cancelled() or task.exception() is not None:
                self._ledger.on_connection_lost(record)
                result = CallResult(Outcome.UNKNOWN, Reason.CANCELLED)
            else:
                result = task.result()
            if not future.done():
                future.set_result(result)

        task.add_done_callback(done)
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            if self._ledger.refuse(record):
                task.cancel()
            raise

    async def _join(self, request: GateRequest) -> CallResult:
        future = self._joins.get(request.key)
        if future is None:
            return CallResult(Outcome.UNKNOWN, Reason.DEADLINE)
        try:
            async with asyncio.timeout(request.deadline - self._clock.now()):
                return await asyncio.shield(future)
        except TimeoutError:
            return CallResult(Outcome.UNKNOWN, Reason.DEADLINE)

    async def _admit_and_run(
        self, request: GateRequest, record: RunRecord | None
    ) -> CallResult:
        if self._upstream is None:
            return self._refusal(request, Reason.NO_INSTANCE, record)
        if request.rank >= self._deep_cuts.threshold(request.operation, ""):
            return self._refusal(request, Reason.SHED_EARLY, record)
        self._next_key += 1
        waiter = Waiter(
            self._next_key,
            request.rank,
            request.operation,
            request.deadline,
            self._clock.now(),
        )
        reason = await self._admit(waiter)
        if reason is not Reason.NONE:
            return self._refusal(request, reason, record)
        if self._upstream is None:
            # It went away while this waited.
            self._apply(self._admission.finish(waiter.key, succeeded=False))
            return self._refusal(request, Reason.NO_INSTANCE, record)
        allowed = request.may_hand_over()
        if allowed and record is not None:
            allowed = self._ledger.hand_over(record)
        if not allowed:
            self._apply(self._admission.finish(waiter.key, succeeded=False))
            return self._refusal(request, Reason.FENCED, record)
        return await self._hand_over(request, waiter, record)

    async def _admit(self, waiter: Waiter) -> Reason:
        decisions = self._admission.offer(waiter)
        for decision in decisions:
            if decision.waiter is waiter:
                if isinstance(decision, Start):
                    return Reason.NONE
                return decision.reason
        future = asyncio.get_running_loop().create_future()
        self._starts[waiter.key] = future
        self._apply(decisions)
        try:
            return await future
        except asyncio.CancelledError:
            if not self._admission.withdraw(waiter):
                # Started in the same turn of the loop: give the slot back.
                self._apply(self._admission.finish(waiter.key, succeeded=False))
            self._counters.events["cancelled.waiting"] += 1
            raise
        finally:
            self._starts.pop(waiter.key, None)

    async def _hand_over(
        self, request: GateRequest, waiter: Waiter, record: RunRecord | None
    ) -> CallResult:
        context = new_context(self._clock, request)
        self._contexts[context.token] = context
        succeeded = False
        try:
            time_left = request.deadline - self._clock.now()
            headers = upstream_headers(request, context, time_left)
            if record is not None:
                # What a posting's late answer says is still worth keeping.
                time_left = max(time_left, 30.0)
            async with asyncio.timeout(time_left):
                answer = await self._upstream.run(
                    request.method, request.path, headers, request.body
                )
            succeeded = True
            self._refused_in_a_row = 0
            self._deep_cuts.update(request.operation, "", context.downstream_threshold)
            result = answered(context, answer)
        except asyncio.CancelledError:
            self._counters.events["cancelled.running"] += 1
            raise
        except Exception as error:
            result = self._failed(request, record, error)
        finally:
            del self._contexts[context.token]
            stopped = context.end()
            if stopped:
                self._counters.events["cancelled.children"] += stopped
            self._apply(self._admission.finish(waiter.key, succeeded))
        if record is not None and result.outcome is Outcome.ANSWERED:
            self._ledger.store_answer(record, result)
        return result

    def _failed(
        self, request: GateRequest, record: RunRecord | None, error: Exception
    ) -> CallResult:
        if isinstance(error, UpstreamRefusedError | UpstreamShedError):
            # Nothing was written, or the upstream vouches that it ran
            # nothing: the hand-over did not take place.
            if record is not None:
                self._ledger.cancel_hand_over(record)
            shed = isinstance(error, UpstreamShedError)
            self._refused_in_a_row += not shed
            if shed:
                self._admission.on_upstream_shed()
            reason = Reason.SHED if shed else Reason.UPSTREAM_DOWN
            return self._refusal(request, reason)
        if record is not None:
            self._ledger.on_connection_lost(record)
        if isinstance(error, TimeoutError):
            return CallResult(Outcome.UNKNOWN, Reason.DEADLINE)
        if isinstance(error, UpstreamTooLargeError):
            return CallResult(Outcome.UNKNOWN, Reason.TOO_LARGE)
        if isinstance(error, aiohttp.ClientError | OSError):
            return CallResult(
                Outcome.UNKNOWN,
                Reason.UPSTREAM_DOWN,
                unused_attempts=request.attempts,
                retry_elsewhere=True,
            )
        raise error

    def _refusal(
        self, request: GateRequest, reason: Reason, record: RunRecord | None = None
    ) -> CallResult:
        if record is not None and not self._ledger.refuse(record):
            return CallResult(Outcome.UNKNOWN, reason)
        base = self._settings.retry_after
        return CallResult(
            Outcome.NOT_RUN,
            reason,
            unused_attempts=request.attempts,
            retry_elsewhere=reason in _ELSEWHERE,
            retry_after=jittered_retry_after(base, request.rank, self._random),
        )

    def _apply(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            future = self._starts.get(decision.waiter.key)
            started = isinstance(decision, Start)
            if future is not None and not future.done():
                future.set_result(Reason.NONE if started else decision.reason)
            elif started:
                # Its caller left in this turn of the loop.
                self._apply(
                    self._admission.finish(decision.waiter.key, succeeded=False)
                )
