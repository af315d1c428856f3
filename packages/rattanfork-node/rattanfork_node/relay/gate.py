"""The gate in front of this node's upstream."""

from collections.abc import Iterable

from rattanfork_core.account import RepeatGrants
from rattanfork_core.admission import (
    AdmissionController,
    AdmissionSettings,
    Decision,
    Start,
    Waiter,
)
from rattanfork_core.clock import Clock
from rattanfork_core.gate_status import (
    OperationDependencies,
    ThresholdCache,
    UpstreamHealth,
)
from rattanfork_core.quarantine import Quarantine, SuspectTracker
from rattanfork_core.request import CallResult, Outcome, Reason

from rattanfork_node.http1 import (
    HeaderNames,
    UpstreamAnswer,
    UpstreamConnection,
    UpstreamPool,
    render_head,
)
from rattanfork_node.relay.crash_detector import CrashDetector
from rattanfork_node.relay.decision_log import DecisionLog
from rattanfork_node.relay.gate_results import lost, not_run, result_of
from rattanfork_node.relay.job import Job
from rattanfork_node.relay.upstream import Upstream
from rattanfork_node.telemetry import Counters

#: Part of an upstream's slots that is used.  Some upstreams slow down when they
#: are nearly full: one that takes 1.3 times as long from 95% on does a fifth
#: more work with one slot in twenty left free, and one that doesn't loses a
#: twentieth at most.
_USED_SLOTS = 0.945
#: Length of the queue, as a share of the slots used and as the seconds that it
#: takes to serve it.  A call that waits longer takes the time that the run
#: above it has for its other calls.
_QUEUE_SHARE = 1.5
_QUEUE_SECONDS = 0.2
#: Seconds after which a waiter is shed, or the mean service time if that is more.
_LONGEST_WAIT = 0.1
#: Arrivals looked at for a surge: a tenth of a second at a full upstream.
_SURGE_SAMPLE = 100
#: Reasons for which an arrival at the upstream came to nothing.
_LOST = frozenset(
    (
        Reason.UPSTREAM_SHED,
        Reason.UPSTREAM_FAILED,
        Reason.CONNECTION,
        Reason.STALE_INSTANCE,
    )
)
#: The only instance whose deeper services are kept here: the gate's own upstream.
_HERE = ""


class Gate:
    """Hands requests to this node's upstream, and says truly what did not run.

    Explanation
    ===========

    Nothing else hands requests to the upstream.  The gate queues by rank in
    front of it, so that what is urgent does not wait inside the upstream
    behind what is not, and refuses at once what can't end in time.

    Each request names the upstream's incarnation.  Addresses are used again:
    a request that reaches another incarnation is refused by it instead of
    being run by the wrong service.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    boot : str
        This incarnation of the gate.
    names : HeaderNames
        Headers to set and read.
    counters : Counters
        What happened.
    journal : Journal
        Told what became of each request.
    grants : RepeatGrants
        Decides which repeats may arrive.
    quarantine : Quarantine
        Knows the requests that no upstream may run.
    """

    def __init__(
        self,
        clock: Clock,
        boot: str,
        names: HeaderNames,
        counters: Counters,
        journal: DecisionLog,
        grants: RepeatGrants,
        quarantine: Quarantine,
    ) -> None:
        self._clock = clock
        self.grants = grants
        self._quarantine = quarantine
        self._journal = journal
        self._boot = boot
        self._names = names
        self._counters = counters
        self._not_run_name = names.not_run.lower()
        self._upstream: Upstream | None = None
        self._pool: UpstreamPool | None = None
        self._admission = AdmissionController(
            clock,
            AdmissionSettings(
                slots=1,
                warmup=0.0,
                adaptive=False,
                queue_ratio=_QUEUE_SHARE,
                queue_delay=_QUEUE_SECONDS,
                surge_sample=_SURGE_SAMPLE,
                max_wait=_LONGEST_WAIT,
            ),
        )
        #: Thresholds that runs of the upstream have met at the services they call.
        self._deeper = ThresholdCache(clock)
        #: Whether the upstream fails or has become slow.
        self.health = UpstreamHealth(clock)
        #: Services that runs of the upstream reach, as their own calls show.
        self.reach = OperationDependencies()
        self._jobs: dict[int, Job] = {}
        self._running: dict[bytes, Job] = {}
        self._next_key = 0
        self._accepting = False
        self._leaving = False
        #: Set when the upstream turned out to be another incarnation.
        self.misdirected = False
        self._tracker = SuspectTracker(clock)
        self._crash_detector = CrashDetector(self._tracker, counters, quarantine.report)

    @property
    def crash_detector(self) -> CrashDetector:
        """Detects crashes of the upstream."""
        return self._crash_detector

    def has_succeeded(self, fingerprint: int) -> bool:
        """Return whether the upstream ran a request with success lately."""
        return self._tracker.has_succeeded(fingerprint)

    @property
    def upstream(self) -> Upstream | None:
        """The upstream that requests are handed to."""
        return self._upstream

    @property
    def accepting(self) -> bool:
        """Whether new work is taken."""
        return self._accepting

    @property
    def own_threshold(self) -> float:
        """Threshold of this gate alone."""
        return self._admission.threshold

    @property
    def outstanding(self) -> int:
        """Requests waiting or running."""
        return len(self._jobs)

    @property
    def slots(self) -> int:
        """Requests that may run at once."""
        return self._admission.limit.current

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return self._admission.waiting

    def attach(self, upstream: Upstream, connections: int) -> None:
        """Take new work for an upstream that announced itself."""
        known = self._upstream
        if known is None or not upstream.is_same_incarnation(known):
            if known is not None and self._accepting:
                in_flight = (j for j in self._jobs.values() if j.connection is not None)
                self._crash_detector.on_replaced([j.fingerprint for j in in_flight])
            self._replace(upstream, connections)
            if known is not None and known.name == upstream.name:
                self._end_runs_of_predecessor()
        elif not upstream.born:
            upstream = upstream._replace(born=known.born)
        self._upstream = upstream
        self._admission.limit.set_slots(max(1, int(upstream.slots * _USED_SLOTS)))
        self._accepting = True
        self.misdirected = False

    def detach(self) -> None:
        """Take no new work; what waits is refused and what runs goes on."""
        self._accepting = False
        for job in [j for j in self._jobs.values() if not j.handed_over]:
            self._withdraw(job, Reason.LEAVING)

    def parent_of(self, request_id: bytes) -> Job | None:
        """Return the run that made a call, by the call's ID.

        An upstream derives the IDs of its calls from that of the run.  The
        prefix must equal the ID of a request at work here: the form of an ID
        alone proves nothing, since a caller may choose any.
        """
        prefix, dot, _ = request_id.rpartition(b".")
        return self._running.get(prefix) if dot else None

    def threshold(self, operation: str) -> float:
        """Return the threshold to announce: the gate's or a deeper one."""
        return min(self._admission.threshold, self._deeper.threshold(operation, _HERE))

    def submit(self, job: Job) -> None:
        """Take a request; its ``done`` is called once."""
        if job.boot != self._boot:
            self._refuse(job, Reason.STALE_INSTANCE)
            return
        if not self._accepting:
            known = self._upstream is not None
            self._refuse(job, Reason.LEAVING if known else Reason.NO_INSTANCE)
            return
        if not self._count_arrival(job):
            self._refuse(job, Reason.NO_REPEAT)
            return
        self._next_key += 1
        now = self._clock.now()
        waiter = Waiter(self._next_key, job.rank, job.operation, job.deadline, now)
        job.waiter = waiter
        self._jobs[waiter.key] = job
        self._apply(self._admission.offer(waiter))

    def cancel(self, job: Job) -> None:
        """Stop a request that nobody waits for."""
        if job.ended:
            return
        if not job.handed_over:
            self._withdraw(job, Reason.CANCELLED)
        elif job.connection is None:
            self._end(job, not_run(Reason.CANCELLED), False)
        elif job.idempotent:
            # Closing is what makes an upstream stop.  A run that must not be
            # repeated goes on, and so do its calls: cut off half-way, nobody
            # could tell its state.
            job.connection.abort()
            self._tracker.on_lost(job.fingerprint)
            self._stop_calls(job)
            self._end(job, CallResult(Outcome.UNKNOWN, Reason.CANCELLED), False)

    def leave(self) -> None:
        """Take note that this node was told to stop."""
        self._leaving = True

    def tick(self) -> None:
        """Carry admission on; call every ``AdmissionController.TICK``."""
        self._apply(self._admission.tick())

    def sweep(self) -> None:
        """Close idle connections; call about once a second."""
        if self._pool is not None:
            self._pool.sweep()

    def close(self) -> None:
        """Close all connections to the upstream."""
        self._crash_detector.close()
        if self._pool is not None:
            self._pool.close()

    def _count_arrival(self, job: Job) -> bool:
        """Count a request as new or as a repeat; return whether it may arrive.

        A call that a repeated run makes again can't be denied: without it all that
        the run has done so far would be lost.
        """
        if job.arrived:
            job.granted = self.grants.grant(job.rank)
            return job.granted
        if job.repeated:
            self.grants.count_repeat()
        elif job.attempt == 1:
            # What other gates have shed was counted there.
            self.grants.count_request()
        return True

    def _stop_calls(self, job: Job) -> None:
        """Stop the calls of a run, for upstreams that take no note of a close.

        Not on a node that leaves: one whose upstream still waits for the answer
        would see it replaced by a failure that only the restart has caused.
        """
        if not self._leaving:
            for stop in list(job.cancels.values()):
                stop()

    def _replace(self, upstream: Upstream, connections: int) -> None:
        if self._pool is not None:
            self._pool.retire()
        self._pool = self._make_pool(upstream, connections)
        self._crash_detector.watch(self._pool, upstream)
        self._admission.reset_estimates()
        self.health = UpstreamHealth(self._clock)

    def _make_pool(self, upstream: Upstream, connections: int) -> UpstreamPool:
        return UpstreamPool(
            self._clock,
            upstream.host,
            upstream.port,
            connections,
            self._names.request_id,
            frozenset((self._not_run_name,)),
        )

    def _end_runs_of_predecessor(self) -> None:
        """End what was handed to an incarnation that has started again since.

        One that lost its power resets no connection, so callers would wait for
        its answers until their deadlines.  What was written may have run.
        """
        for job in [j for j in self._jobs.values() if j.connection is not None]:
            job.connection.abort()
            self._end(job, lost(), False)

    def _apply(self, decisions: Iterable[Decision]) -> None:
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
        self._pool.acquire(
            lambda connection: self._send(job, connection), job.idempotent
        )

    def _send(self, job: Job, connection: UpstreamConnection | None) -> None:
        if connection is None:
            self._end(job, not_run(Reason.UPSTREAM_DOWN), False)
            return
        reason = self._hand_over(job)
        if reason is not Reason.NONE:
            self._pool.give_back(connection)
            self._end(job, not_run(reason), False)
            return
        job.connection = connection
        self.health.on_started(job.waiter.key, job.operation)
        connection.send(
            self._head(job) + job.body,
            job.request_id,
            lambda answer: self._on_answer(job, answer),
            job.method == b"HEAD",
        )

    def _hand_over(self, job: Job) -> Reason:
        """Mark a request as handed over, or return why it is not."""
        if job.ended or job.deadline <= self._clock.now():
            return Reason.TOO_LATE
        if self._quarantine.active and self._quarantine.contains(job.fingerprint):
            return Reason.QUARANTINED
        return Reason.NONE if job.may_hand_over() else Reason.TOO_LATE

    def _head(self, job: Job) -> bytes:
        names = self._names
        extra = b"%b: %d\r\n%b: %b\r\n" % (
            names.deadline,
            int((job.deadline - self._clock.now()) * 1000),
            names.expected_upstream,
            self._upstream.name.encode(),
        )
        if job.account:
            extra += b"%b: %b\r\n" % (names.account, job.account.encode())
        return render_head(job.method, job.target, job.block, len(job.body), extra)

    def _on_answer(self, job: Job, answer: UpstreamAnswer | None) -> None:
        if job.ended:
            return
        result = result_of(job, answer, self._not_run_name)
        self.misdirected |= result.reason is Reason.STALE_INSTANCE
        self._end(job, result, result.outcome is Outcome.ANSWERED)
        if answer is None and self._accepting:
            self._crash_detector.on_lost(job.fingerprint)

    def _withdraw(self, job: Job, reason: Reason) -> None:
        self._admission.withdraw(job.waiter)
        self._jobs.pop(job.waiter.key, None)
        self._refuse(job, reason)

    def _end(self, job: Job, result: CallResult, succeeded: bool) -> None:
        if job.ended:
            return
        self._jobs.pop(job.waiter.key, None)
        self._running.pop(job.request_id, None)
        if job.connection is not None:
            lost = result.reason in _LOST
            self.grants.on_attempt(lost)
            self.health.on_ended(
                job.waiter.key, lost, counts=result.reason is not Reason.CANCELLED
            )
        if succeeded:
            self._note_reach(job, result)
        if job.heard_cut != float("inf"):
            self._deeper.update(job.operation, _HERE, job.heard_cut)
        self._finish(job, result)
        self._apply(self._admission.finish(job.waiter.key, succeeded))

    def _note_reach(self, job: Job, result: CallResult) -> None:
        if result.status < 300:
            fingerprint = job.fingerprint
            self._tracker.on_success(fingerprint)
            self._quarantine.on_success(fingerprint)
            self.reach.record_run(job.operation, job.reached)
        result.reach = self.reach.services(job.operation)

    def _refuse(self, job: Job, reason: Reason) -> None:
        self._counters.events[f"gate.{reason.label}"] += 1
        if job.granted:
            self.grants.take_back()
        self._finish(job, not_run(reason))

    def _finish(self, job: Job, result: CallResult) -> None:
        job.ended = True
        upstream = self._upstream.name if self._upstream is not None else ""
        self._journal.on_run(job, result, self._admission, upstream)
        job.done(result)
