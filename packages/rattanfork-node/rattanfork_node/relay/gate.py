"""Route path, last stage: admission gate of this node's upstream."""

from collections.abc import Callable, Iterable
from functools import partial
from math import inf

from rattanfork_core.admission import (
    AdmissionController,
    AdmissionSettings,
    Decision,
    Start,
    Waiter,
)
from rattanfork_core.budgets import GateRetryBudget
from rattanfork_core.clock import Clock
from rattanfork_core.connections import NewConnectionCause, ResponseBudget
from rattanfork_core.gate_status import (
    OperationDependencies,
    ThresholdCache,
    UpstreamHealth,
)
from rattanfork_core.quarantine import Quarantine, SuspectTracker
from rattanfork_core.request import CallResult, Outcome, Reason

from rattanfork_node.http1 import (
    HeaderNames,
    InputPacer,
    UpstreamConnection,
    UpstreamPool,
    UpstreamResponse,
    fingerprint_of,
    render_head,
)
from rattanfork_node.relay.advertised_state import AdvertisedState
from rattanfork_node.relay.body_bound import BodyBound
from rattanfork_node.relay.crash_detector import CrashDetector
from rattanfork_node.relay.decision_log import DecisionLog
from rattanfork_node.relay.gate_results import (
    MISDIRECTED_STATUS,
    connection_lost,
    not_run,
    response_dropped,
    result_from_response,
)
from rattanfork_node.relay.job import Job
from rattanfork_node.relay.upstream import Upstream
from rattanfork_node.telemetry import Counters

#: Share of an upstream's announced slots that is used.  Some upstreams slow down when
#: nearly full.  If runs take 1.3 times as long from 95% utilization on, leaving one
#: slot in twenty free raises the throughput by a fifth; an upstream that doesn't slow
#: down loses a twentieth at most.
_SLOT_UTILIZATION = 0.945
#: Maximum length of the queue: ``_QUEUE_SHARE`` times the concurrency limit, or the
#: requests served in ``_QUEUE_S`` seconds if these are more.  A child call that waits
#: longer uses up the time that its parent run has for its other calls.
_QUEUE_SHARE = 1.5
_QUEUE_S = 0.2
#: Time in the queue, in seconds, after which a request is shed; the mean service time
#: if that is longer.
_MAX_WAIT_S = 0.1
#: Arrivals over which a surge is detected: 0.1 s of arrivals at a full upstream.
_SURGE_SAMPLE_ARRIVALS = 100
#: Reasons that count as a failure of the upstream to run a request it was sent.
_FAILED_ARRIVAL_REASONS = frozenset(
    (
        Reason.UPSTREAM_SHED,
        Reason.UPSTREAM_FAILED,
        Reason.CONNECTION,
        Reason.STALE_INSTANCE,
    )
)
#: Size of a request body up to which the fingerprint of a successful run is computed
#: later.  Until then the request is kept in memory.
_MAX_DEFERRED_BODY_BYTES = 4096
#: Bytes of request bodies at a gate without a memory limit.
_MAX_BODY_BYTES = 32 << 20
#: Seconds after the deadline of a request at which its response counts as lost.  An
#: upstream stops work at the deadline that it receives.
_LOST_AFTER_S = 1.0
#: Key of the gate's own upstream, the only instance in its table of downstream
#: thresholds.
_OWN_UPSTREAM = ""


def _ignore(job: Job) -> None:
    """Do nothing."""


class Gate:
    """Admits requests to this node's upstream and reports which did not run.

    Explanation
    ===========

    All requests to the upstream pass its gate.  The gate keeps a queue ordered by
    rank, so that an important request does not wait inside the upstream behind
    less important ones, and refuses requests that can't complete by their deadlines.
    "Not run" is reported only for requests that were not written to the upstream
    or that the upstream itself refused, in a response that is certainly the one to
    this attempt.

    Each request names the incarnation of the upstream that it is meant for.
    Addresses are reused: another incarnation at the address refuses the request
    instead of running it as the wrong service.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    boot : str
        ID of this incarnation of the gate.
    names : HeaderNames
        Names of request and response headers.
    counters : Counters
        Counts refusals by reason.
    decision_log : DecisionLog
        Records the result of each request.
    grants : GateRetryBudget
        Retry budget of this gate.
    quarantine : Quarantine
        Fingerprints of requests that no upstream may run.
    bodies : BodyBound, optional
        Bound on the bodies of requests that wait or run here.
    responses : ResponseBudget, optional
        Budget for the bodies of the responses that the node is receiving.
    pacer : InputPacer, optional
        Grants turns to connections with fragmented input.
    """

    def __init__(
        self,
        clock: Clock,
        boot: str,
        names: HeaderNames,
        counters: Counters,
        decision_log: DecisionLog,
        grants: GateRetryBudget,
        quarantine: Quarantine,
        bodies: BodyBound | None = None,
        responses: ResponseBudget | None = None,
        pacer: InputPacer | None = None,
    ) -> None:
        self._pacer = pacer or InputPacer()
        self._clock = clock
        self._responses = ResponseBudget() if responses is None else responses
        self._bodies = BodyBound(_MAX_BODY_BYTES) if bodies is None else bodies
        self.grants = grants
        self._quarantine = quarantine
        self._decision_log = decision_log
        self._boot = boot
        self._names = names
        self._counters = counters
        self._not_run_name = names.not_run.lower()
        self._stamp_name = names.stamp.lower()
        self._upstream: Upstream | None = None
        #: Header line that names the incarnation which may run a request.
        self._upstream_header = b""
        self._pool: UpstreamPool | None = None
        self._admission = AdmissionController(
            clock,
            AdmissionSettings(
                slots=1,
                warmup=0.0,
                adaptive=False,
                queue_ratio=_QUEUE_SHARE,
                queue_delay=_QUEUE_S,
                surge_sample=_SURGE_SAMPLE_ARRIVALS,
                max_wait=_MAX_WAIT_S,
            ),
        )
        #: What the upstream advertises in its responses.
        self.advertised = AdvertisedState(
            clock, names, self._admission.rate_limit, counters
        )
        #: Incarnations of the upstream so far; a late response of an earlier one says
        #: nothing about the current one.
        self._incarnation = 0
        #: Admission thresholds announced by the services that the upstream calls.
        self._downstream_thresholds = ThresholdCache(clock)
        #: Detects an upstream that fails or has become slow.
        self.health = UpstreamHealth(clock)
        #: Services behind each operation, learned from the child calls of its runs.
        self.dependencies = OperationDependencies()
        self._jobs: dict[int, Job] = {}
        self._running: dict[bytes, Job] = {}
        self._next_key = 0
        self._accepting = False
        self._leaving = False
        #: Latest deadline of a peer's run that is admitted.
        self._latest_deadline = inf
        self._has_other_instances: Callable[[], bool] = lambda: False
        #: Called with each run that the upstream may go on with after it was ended.
        self.on_run_lost: Callable[[Job], None] = _ignore
        #: Whether a response showed that another incarnation has the address.
        self.misdirected = False
        self._tracker = SuspectTracker(clock)
        self._crash_detector = CrashDetector(self._tracker, counters, quarantine.report)

    @property
    def crash_detector(self) -> CrashDetector:
        """The detector of crashes of the upstream."""
        return self._crash_detector

    def has_succeeded(self, fingerprint: int) -> bool:
        """Return whether the upstream recently ran such a request successfully."""
        return self._tracker.has_succeeded(fingerprint)

    @property
    def upstream(self) -> Upstream | None:
        """The upstream that requests are sent to; None before it announced itself."""
        return self._upstream

    @property
    def accepting(self) -> bool:
        """Whether new requests are admitted."""
        return self._accepting and not self.advertised.leaving

    @property
    def own_threshold(self) -> float:
        """Admission threshold of this gate, without those of downstream services."""
        return self._admission.threshold

    @property
    def outstanding(self) -> int:
        """Number of requests waiting or running."""
        return len(self._jobs)

    @property
    def slots(self) -> int:
        """Number of requests that may run concurrently."""
        return self._admission.limit.current

    @property
    def rate_limit(self) -> float | None:
        """Rate limit that the upstream advertises, per second; None without one."""
        return self._admission.rate_limit.value

    @property
    def upload_bytes(self) -> int:
        """Bytes of the bodies of peers' requests that wait or run."""
        return self._bodies.held

    @property
    def connections(self) -> int:
        """Number of connections to the upstream."""
        return 0 if self._pool is None else self._pool.connections

    @property
    def unsent_bytes(self) -> int:
        """Bytes of requests that the upstream has not read yet."""
        return 0 if self._pool is None else self._pool.unsent_bytes

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return self._admission.waiting

    def attach(self, upstream: Upstream, connections: int) -> None:
        """Admit requests for an upstream that announced itself."""
        known = self._upstream
        if known is None or not upstream.is_same_incarnation(known):
            if known is not None and self._accepting:
                in_flight = (j for j in self._jobs.values() if j.connection is not None)
                self._crash_detector.on_replaced([j.fingerprint for j in in_flight])
            self._replace(upstream, connections)
            if known is not None and known.name == upstream.name:
                self._abort_predecessor_runs()
        elif not upstream.born:
            upstream = upstream._replace(born=known.born)
        self._upstream = upstream
        self._upstream_header = b"%b: %b\r\n" % (
            self._names.expected_upstream,
            upstream.name.encode(),
        )
        self.advertised.update_upstream(upstream)
        self._admission.limit.set_slots(max(1, int(upstream.slots * _SLOT_UTILIZATION)))
        self._accepting = True
        self.misdirected = False

    def detach(self) -> None:
        """Admit no more requests; refuse those not sent, let running ones finish."""
        self._accepting = False
        for job in [j for j in self._jobs.values() if not j.handed_over]:
            self._withdraw(job, Reason.LEAVING)
        # These wait for a connection, which may take a second to open.
        for job in [j for j in self._jobs.values() if j.connection is None]:
            self._finish_run(job, not_run(Reason.LEAVING), False)

    def parent_of(self, request_id: bytes) -> Job | None:
        """Return the run that made a child call, by the request ID of the call.

        An upstream derives the IDs of its child calls from that of the run, with a
        dot and a suffix.  The prefix must be the ID of a request that is running here:
        the form of an ID alone proves nothing, since callers may choose any.
        """
        prefix, dot, _ = request_id.rpartition(b".")
        return self._running.get(prefix) if dot else None

    def threshold(self, operation: str) -> float:
        """Return the lower of the gate's and the downstream admission threshold."""
        return min(
            self._admission.threshold,
            self._downstream_thresholds.threshold(operation, _OWN_UPSTREAM),
        )

    def submit(self, job: Job) -> None:
        """Admit, queue or refuse a request; its ``done`` is called exactly once."""
        if job.boot != self._boot:
            self._refuse(job, Reason.STALE_INSTANCE)
            return
        if not self._accepting or self.advertised.leaving:
            known = self._upstream is not None
            self._refuse(job, Reason.LEAVING if known else Reason.NO_INSTANCE)
            return
        if job.origin and self._may_outlast_node(job):
            self._refuse(job, Reason.LEAVING)
            return
        if job.counted_bytes and not self._hold_body(job):
            # The reason is one that nodes of earlier builds know, too.
            self._counters.events["gate.upload-bytes"] += 1
            self._refuse(job, Reason.SHED)
            return
        if not self._admit_arrival(job):
            self._refuse(job, Reason.NO_REPEAT)
            return
        self._next_key += 1
        now = self._clock.now()
        waiter = Waiter(self._next_key, job.rank, job.operation, job.deadline, now)
        job.waiter = waiter
        self._jobs[waiter.key] = job
        if self._admission.start_at_once(waiter, now):
            self._start(job)
        else:
            self._apply_decisions(self._admission.enqueue(waiter, now))

    def cancel(self, job: Job) -> None:
        """Cancel a request whose sender no longer waits for it."""
        if job.ended:
            return
        if not job.handed_over:
            self._withdraw(job, Reason.CANCELLED)
        elif job.connection is None:
            self._finish_run(job, not_run(Reason.CANCELLED), False)
        elif job.idempotent or job.is_body_incomplete:
            # Closing the connection makes the upstream stop.  A run that is not
            # idempotent continues, and so do its child calls: if it were aborted, it
            # would be unknown how much of it was done.  Without the rest of its body it
            # can't go on.
            job.connection.abort()
            self._tracker.on_lost(job.fingerprint)
            self._cancel_calls(job)
            self._finish_run(job, CallResult(Outcome.UNKNOWN, Reason.CANCELLED), False)

    def leave(self) -> None:
        """Record that this node is draining."""
        self._leaving = True

    def refuse_runs_beyond(
        self, ends_at: float, has_other_instances: Callable[[], bool]
    ) -> None:
        """Refuse peers' runs with deadlines later than the end of this node.

        Their nodes send them to other instances, while there are any; the exit would
        cut those that are slow, and nobody could tell whether they had run.
        """
        self._latest_deadline = ends_at
        self._has_other_instances = has_other_instances

    def tick(self) -> None:
        """Update admission control; call every ``AdmissionController.TICK_SECONDS``."""
        self._tracker.record_pending()
        self._apply_decisions(self._admission.tick())

    def sweep(self) -> None:
        """End runs without a response, close idle connections; call once a second."""
        self._end_overdue_runs()
        if self._pool is not None:
            self._pool.sweep()

    def close(self) -> None:
        """Close all connections to the upstream."""
        self._crash_detector.close()
        if self._pool is not None:
            self._pool.close()

    def _may_outlast_node(self, job: Job) -> bool:
        """Return whether the exit may cut a run that another instance can take."""
        return job.deadline > self._latest_deadline and self._has_other_instances()

    def _admit_arrival(self, job: Job) -> bool:
        """Charge the retry budget for a request; return whether it is admitted.

        A child call of a run that is itself a retry is denied only at the bound:
        without the call, all work of the run so far would be lost.
        """
        if job.may_have_arrived:
            job.retry = self.grants.decide(job.rank)
        elif job.repeated:
            job.retry = self.grants.decide_inherited()
        elif job.attempt == 1:
            # A later attempt was counted as a request by the gate that shed the first.
            self.grants.count_request()
        return not job.is_denied_retry

    def _cancel_calls(self, job: Job) -> None:
        """Cancel the child calls of a run; some upstreams ignore a closed connection.

        A draining node does not cancel them: an upstream that still waits for their
        responses would get failures that are caused only by the restart.
        """
        if not self._leaving:
            for cancel in list(job.call_cancels.values()):
                cancel()

    def _replace(self, upstream: Upstream, connections: int) -> None:
        if self._pool is not None:
            self._pool.retire()
        self._pool = self._make_pool(upstream, connections)
        self._crash_detector.watch(self._pool, upstream)
        self._incarnation += 1
        self.advertised.reset(upstream)
        self._admission.reset_estimates()
        self.health = UpstreamHealth(self._clock)

    def _make_pool(self, upstream: Upstream, connections: int) -> UpstreamPool:
        return UpstreamPool(
            self._clock,
            upstream.host,
            upstream.port,
            connections,
            self._names.request_id,
            self.advertised.header_names | {self._not_run_name, self._stamp_name},
            self._counters.events,
            self._responses,
            keeps_parts=True,
            pacer=self._pacer,
        )

    def _abort_predecessor_runs(self) -> None:
        """End the runs at a previous incarnation of a restarted upstream.

        After a power loss no connection is reset, so callers would wait for
        responses until their deadlines.  What was written may have run.
        """
        for job in [j for j in self._jobs.values() if j.connection is not None]:
            job.connection.abort()
            self._finish_run(job, connection_lost(), False)

    def _end_overdue_runs(self) -> None:
        """End the runs whose response should have come by now.

        A run that is not idempotent continues when its sender has given up, so nothing
        else would free its slot if its connection is silent.
        """
        ended_by = self._clock.now() - _LOST_AFTER_S
        for job in [j for j in self._jobs.values() if j.deadline < ended_by]:
            if job.connection is not None:
                self._counters.events["gate.response-lost"] += 1
                job.connection.abort(NewConnectionCause.LOST)
                self._finish_run(job, connection_lost(), False)

    def _apply_decisions(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            job = self._jobs[decision.waiter.key]
            if isinstance(decision, Start):
                self._start(job)
            else:
                self._jobs.pop(decision.waiter.key)
                self._refuse(job, decision.reason)

    def _start(self, job: Job) -> None:
        job.handed_over = True
        self._running[job.request_id] = job
        self._pool.acquire(partial(self._send, job), job.idempotent, job.request_id)

    def _send(self, job: Job, connection: UpstreamConnection | None) -> None:
        if connection is None:
            self._finish_run(job, not_run(Reason.UPSTREAM_DOWN), False)
            return
        reason = self._check_hand_over(job)
        if reason is not Reason.NONE:
            self._pool.release(connection)
            self._finish_run(job, not_run(reason), False)
            return
        job.connection = connection
        job.incarnation = self._incarnation
        self.health.on_started(job.waiter.key, job.operation)
        head = self._render_request_head(job)
        on_response = partial(self._on_response, job)
        is_head = job.method == b"HEAD"
        if job.large_body is None:
            connection.send(head + job.body, job.request_id, on_response, is_head)
        else:
            connection.send(head, job.request_id, on_response, is_head, job.large_body)

    def _check_hand_over(self, job: Job) -> Reason:
        """Return why a request may not be sent; NONE marks it as handed over."""
        if job.ended or job.deadline <= self._clock.now():
            return Reason.TOO_LATE
        if self._quarantine.active and self._quarantine.contains(job.fingerprint):
            return Reason.QUARANTINED
        return Reason.NONE if job.may_hand_over() else Reason.TOO_LATE

    def _render_request_head(self, job: Job) -> bytes:
        names = self._names
        headers = b"%b: %d\r\n%b" % (
            names.deadline,
            int((job.deadline - self._clock.now()) * 1000),
            self._upstream_header,
        )
        if job.account:
            headers += b"%b: %b\r\n" % (names.account, job.account.encode())
        return render_head(job.method, job.target, job.block, job.body_size, headers)

    def _on_response(self, job: Job, response: UpstreamResponse | None) -> None:
        if (
            response is not None
            and response.status != MISDIRECTED_STATUS
            and job.incarnation == self._incarnation
        ):
            self.advertised.on_response(response)
        if job.ended:
            return
        job.response = response
        is_dropped = response is None and job.connection.evicted
        result = (
            response_dropped()
            if is_dropped
            else result_from_response(
                job, response, self._not_run_name, self._stamp_name
            )
        )
        self.misdirected |= result.reason is Reason.STALE_INSTANCE
        if response is not None and result.outcome is Outcome.UNKNOWN:
            is_success = response.status < 300
            cause = "without-stamp" if is_success else "unproved-refusal"
            self._counters.events[f"upstream.{cause}"] += 1
        self._finish_run(job, result, result.outcome is Outcome.ANSWERED)
        if response is None and self._accepting and not is_dropped:
            self._crash_detector.on_lost(job.fingerprint)

    def _withdraw(self, job: Job, reason: Reason) -> None:
        self._admission.withdraw(job.waiter)
        self._jobs.pop(job.waiter.key, None)
        self._refuse(job, reason)

    def _finish_run(self, job: Job, result: CallResult, succeeded: bool) -> None:
        if job.ended:
            return
        self._jobs.pop(job.waiter.key, None)
        self._running.pop(job.request_id, None)
        if job.connection is not None:
            failed = result.reason in _FAILED_ARRIVAL_REASONS
            self.grants.on_attempt(failed)
            self.health.on_ended(
                job.waiter.key, failed, counts=result.reason is not Reason.CANCELLED
            )
            if result.outcome is Outcome.UNKNOWN:
                self.on_run_lost(job)
        if succeeded:
            self._record_dependencies(job, result)
        if job.lowest_called_threshold != float("inf"):
            self._downstream_thresholds.update(
                job.operation, _OWN_UPSTREAM, job.lowest_called_threshold
            )
        self._finish(job, result)
        decisions = self._admission.finish(job.waiter.key, succeeded)
        if decisions:
            self._apply_decisions(decisions)

    def _record_dependencies(self, job: Job, result: CallResult) -> None:
        if result.status < 300:
            self._record_success(job)
            self.dependencies.record_run(job.operation, job.services_reached)
        result.services_reached = self.dependencies.services(job.operation)

    def _record_success(self, job: Job) -> None:
        if len(self._quarantine) or job.body_size > _MAX_DEFERRED_BODY_BYTES:
            fingerprint = job.fingerprint
            self._tracker.on_success(fingerprint)
            self._quarantine.on_success(fingerprint)
        else:
            # Not a method of the job, which would keep the whole run in memory.
            self._tracker.defer_success(
                partial(
                    fingerprint_of,
                    job.method,
                    job.target,
                    job.block,
                    job.body,
                    job.account,
                )
            )

    def _refuse(self, job: Job, reason: Reason) -> None:
        self._counters.events[f"gate.{reason.label}"] += 1
        if job.retry is not None and not job.is_denied_retry:
            self.grants.refund(job.retry)
        self._finish(job, not_run(reason))

    def _hold_body(self, job: Job) -> bool:
        """Count the body of a peer's request; return whether it is within the bound."""
        job.is_counted = self._bodies.take(job.counted_bytes)
        return job.is_counted

    def _finish(self, job: Job, result: CallResult) -> None:
        job.ended = True
        if job.is_counted:
            self._bodies.release(job.counted_bytes)
            job.is_counted = False
        upstream = self._upstream.name if self._upstream is not None else ""
        self._decision_log.on_run(job, result, self._admission, upstream)
        job.done(result)
