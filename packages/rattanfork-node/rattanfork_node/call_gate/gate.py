"""Call path: admission gate of this node's upstream."""

import asyncio
from collections.abc import Iterable
from dataclasses import replace
from random import Random

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
    answered_result,
    new_context,
    upstream_headers,
)
from rattanfork_node.call_gate.request import GateRequest
from rattanfork_node.call_gate.upstream_client import (
    ResponseTooLargeError,
    UpstreamClient,
    UpstreamConnectError,
    UpstreamShedError,
)
from rattanfork_node.telemetry import Counters

#: Reasons of a refusal that don't hold for other instances.
_RETRY_ELSEWHERE_REASONS = frozenset(
    (
        Reason.LEAVING,
        Reason.STALE_INSTANCE,
        Reason.SHED,
        Reason.UPSTREAM_DOWN,
        Reason.NO_INSTANCE,
    )
)


class CallGate:
    """Admission gate of the call path, in front of this node's upstream.

    Explanation
    ===========

    All requests of the call path to the upstream pass this gate, so it is the
    only component that can prove that a request was not run.  It queues and
    sheds requests, runs a request with an idempotency key at most once, cancels
    runs and drains.  The decisions are those of the core's
    :class:`AdmissionController` and :class:`KeyRegistry`.

    The route path has its own gate, :class:`rattanfork_node.relay.Gate`.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    instance, boot : str
        Name of the instance, and ID of this incarnation of its gate.
    ticket_issuer : TicketIssuer
        Decodes idempotency keys.
    admission : AdmissionSettings
        Bounds of the queue and of the concurrency limit.
    counters : Counters
        Counts results and cancellations.
    random : Random
        Source of the jitter of ``Retry-After``.
    """

    def __init__(
        self,
        clock: Clock,
        instance: str,
        boot: str,
        ticket_issuer: TicketIssuer,
        admission: AdmissionSettings,
        counters: Counters,
        random: Random,
    ) -> None:
        self._clock = clock
        self._boot = boot
        self._ticket_issuer = ticket_issuer
        self._settings = admission
        self._admission = AdmissionController(clock, admission)
        self._key_registry = KeyRegistry(clock, instance, boot)
        self._downstream_thresholds = ThresholdCache(clock)
        self._counters = counters
        self._random = random
        self._upstream: UpstreamClient | None = None
        self._admission_futures: dict[int, asyncio.Future[Reason]] = {}
        self._result_futures: dict[str, asyncio.Future[CallResult]] = {}
        self._contexts: dict[str, RunContext] = {}
        self._keyed_tasks: set[asyncio.Task] = set()
        self._last_waiter_key = 0
        self._consecutive_refusals = 0

    @property
    def consecutive_refusals(self) -> int:
        """Connections refused since the upstream was attached or last responded."""
        return self._consecutive_refusals

    @property
    def admission(self) -> AdmissionController:
        """The admission controller."""
        return self._admission

    @property
    def key_registry(self) -> KeyRegistry:
        """The registry of idempotency keys."""
        return self._key_registry

    @property
    def outstanding(self) -> int:
        """Number of queued and running requests."""
        return self._admission.running + self._admission.waiting

    @property
    def has_upstream(self) -> bool:
        """Whether an upstream is attached."""
        return self._upstream is not None

    def attach(self, upstream: UpstreamClient | None) -> None:
        """Set the upstream that announced itself, or None if it has gone away."""
        self._upstream = upstream
        self._consecutive_refusals = 0

    def find_context(self, token: str) -> RunContext | None:
        """Return the context of the run that a token names, or None if it ended."""
        return self._contexts.get(token)

    def threshold(self, operation: str) -> float:
        """Return the lower of this gate's and the downstream admission threshold."""
        return min(
            self._admission.threshold,
            self._downstream_thresholds.threshold(operation, ""),
        )

    def drain(self) -> None:
        """Refuse new requests, and those that are queued."""
        self._apply_decisions(self._admission.drain())

    def tick(self) -> None:
        """Run the periodic work of the admission controller."""
        self._apply_decisions(self._admission.tick())

    def fence_key(self, key: str) -> FenceVerdict:
        """Fence a key: it is no longer handed to the upstream."""
        try:
            ticket = self._ticket_issuer.parse(key)
        except TicketError:
            return FenceVerdict.UNKNOWN
        return self._key_registry.fence(key, ticket)

    async def run(self, request: GateRequest) -> CallResult:
        """Run a request; return its response or the reason why there is none."""
        if request.key:
            # A result holds for all requests with the key, so the registry must
            # be consulted before any refusal.
            result = await self._run_keyed(request)
        elif request.boot != self._boot:
            result = self._refusal(request, Reason.STALE_INSTANCE)
        else:
            result = await self._admit_and_run(request, None)
        self._counters.calls[result.outcome.label, result.reason.label] += 1
        return result

    async def wait_idle(self) -> None:
        """Wait until no request is queued or running."""
        while self.outstanding or self._keyed_tasks:
            await asyncio.sleep(0.02)

    async def _run_keyed(self, request: GateRequest) -> CallResult:
        try:
            ticket = self._ticket_issuer.parse(request.key)
        except TicketError:
            return self._refusal(request, Reason.BAD_REQUEST)
        digest = hash64(f"{request.method} {request.path}") ^ hash64(request.body.hex())
        verdict = self._key_registry.on_request(
            request.key, ticket, request.caller, digest
        )
        if isinstance(verdict, RefuseKey):
            return CallResult(verdict.outcome, verdict.reason)
        if isinstance(verdict, AlreadyAnswered):
            self._counters.events["key.repeated"] += 1
            return replace(verdict.result, unused_attempts=request.attempts)
        if isinstance(verdict, JoinRunning):
            self._counters.events["key.joined"] += 1
            return await self._await_running(request)
        return await self._run_new_key(request, verdict.record)

    async def _run_new_key(self, request: GateRequest, record: RunRecord) -> CallResult:
        # A run with a key continues if its caller disconnects, because the
        # response is kept for the caller's next attempt.
        future = asyncio.get_running_loop().create_future()
        self._result_futures[request.key] = future
        task = asyncio.ensure_future(self._admit_and_run(request, record))
        self._keyed_tasks.add(task)

        def on_done(task: asyncio.Task) -> None:
            self._keyed_tasks.discard(task)
            self._result_futures.pop(request.key, None)
            if task.cancelled() or task.exception() is not None:
                self._key_registry.on_connection_lost(record)
                result = CallResult(Outcome.UNKNOWN, Reason.CANCELLED)
            else:
                result = task.result()
            if not future.done():
                future.set_result(result)

        task.add_done_callback(on_done)
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            if self._key_registry.refuse(record):
                task.cancel()
            raise

    async def _await_running(self, request: GateRequest) -> CallResult:
        future = self._result_futures.get(request.key)
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
        if request.rank >= self._downstream_thresholds.threshold(request.operation, ""):
            return self._refusal(request, Reason.SHED_EARLY, record)
        self._last_waiter_key += 1
        waiter = Waiter(
            self._last_waiter_key,
            request.rank,
            request.operation,
            request.deadline,
            self._clock.now(),
        )
        reason = await self._admit(waiter)
        if reason is not Reason.NONE:
            return self._refusal(request, reason, record)
        if self._upstream is None:
            # The upstream went away while the request was queued.
            self._apply_decisions(self._admission.finish(waiter.key, succeeded=False))
            return self._refusal(request, Reason.NO_INSTANCE, record)
        allowed = request.may_hand_over()
        if allowed and record is not None:
            allowed = self._key_registry.hand_over(record)
        if not allowed:
            self._apply_decisions(self._admission.finish(waiter.key, succeeded=False))
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
        self._admission_futures[waiter.key] = future
        self._apply_decisions(decisions)
        try:
            return await future
        except asyncio.CancelledError:
            if not self._admission.withdraw(waiter):
                # Started in the same event loop iteration: release the slot.
                self._apply_decisions(
                    self._admission.finish(waiter.key, succeeded=False)
                )
            self._counters.events["cancelled.waiting"] += 1
            raise
        finally:
            self._admission_futures.pop(waiter.key, None)

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
                # Wait at least 30 s, even past the deadline: the response to a
                # request with a key is kept for the caller's next attempt.
                time_left = max(time_left, 30.0)
            async with asyncio.timeout(time_left):
                response = await self._upstream.run(
                    request.method, request.path, headers, request.body
                )
            succeeded = True
            self._consecutive_refusals = 0
            self._downstream_thresholds.update(
                request.operation, "", context.downstream_threshold
            )
            result = answered_result(context, response)
        except asyncio.CancelledError:
            self._counters.events["cancelled.running"] += 1
            raise
        except Exception as error:
            result = self._failure_result(request, record, error)
        finally:
            del self._contexts[context.token]
            cancelled = context.end()
            if cancelled:
                self._counters.events["cancelled.children"] += cancelled
            self._apply_decisions(self._admission.finish(waiter.key, succeeded))
        if record is not None and result.outcome is Outcome.ANSWERED:
            self._key_registry.store_answer(record, result)
        return result

    def _failure_result(
        self, request: GateRequest, record: RunRecord | None, error: Exception
    ) -> CallResult:
        if isinstance(error, UpstreamConnectError | UpstreamShedError):
            # Nothing was sent, or the upstream reports that it did not run the
            # request, so its registered hand-over is cancelled.
            if record is not None:
                self._key_registry.cancel_hand_over(record)
            shed = isinstance(error, UpstreamShedError)
            self._consecutive_refusals += not shed
            if shed:
                self._admission.on_upstream_shed()
            reason = Reason.SHED if shed else Reason.UPSTREAM_DOWN
            return self._refusal(request, reason)
        if record is not None:
            self._key_registry.on_connection_lost(record)
        if isinstance(error, TimeoutError):
            return CallResult(Outcome.UNKNOWN, Reason.DEADLINE)
        if isinstance(error, ResponseTooLargeError):
            return CallResult(Outcome.UNKNOWN, Reason.TOO_LARGE)
        if isinstance(error, OSError):
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
        if record is not None and not self._key_registry.refuse(record):
            return CallResult(Outcome.UNKNOWN, reason)
        base = self._settings.retry_after
        return CallResult(
            Outcome.NOT_RUN,
            reason,
            unused_attempts=request.attempts,
            retry_elsewhere=reason in _RETRY_ELSEWHERE_REASONS,
            retry_after=jittered_retry_after(base, request.rank, self._random),
        )

    def _apply_decisions(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            future = self._admission_futures.get(decision.waiter.key)
            started = isinstance(decision, Start)
            if future is not None and not future.done():
                future.set_result(Reason.NONE if started else decision.reason)
            elif started:
                # The caller disconnected in this event loop iteration.
                self._apply_decisions(
                    self._admission.finish(decision.waiter.key, succeeded=False)
                )
