"""Checks the product's invariants against the records of clients and workers.

The invariants, by the short names that violations carry:

- ``twice``: a non-idempotent request runs at most once.
- ``refused``: a request whose status says that it did not run, did not run.
- ``mixed``: a response is complete and the one of the worker that ran the request.
- ``unasked``: workers get only requests that were sent, unaltered, with the
  client account and without the key.
- ``lost``: a draining node responds to requests that a worker has run.
- ``drain``: no request arrives at a worker after its leaving was acknowledged, by
  whatever processes its node has had since; unless the store was restored from a copy
  without it and all nodes were restarted, so that nothing remembers it.
- ``leaving``: no request arrives at a worker from a node that has forwarded its
  statement that it leaves.
- ``limit``: a worker gets no more requests than the rate limit that it advertises.
- ``budget``: a request that crashes workers is quarantined.
- ``retries``: the retries that reach workers stay within the bound.
- ``revoked`` and ``denied``: a revoked key is rejected, a valid key accepted.
- ``configuration``: a change comes into force in time and is not reverted.
- ``time`` and ``recovery``: responses come in time, and service recovers after
  faults.
- ``process``: no node exits unless it is stopped.
- ``memory``: no node uses more memory than its settings allow.
"""

from collections.abc import Callable, Iterable

from rattanfork_soak.keys import ACCOUNT_NAME, KeyRing
from rattanfork_soak.record import Record
from rattanfork_soak.retry_check import check_retries
from rattanfork_soak.violation import Violation
from rattanfork_soak.worker import DEADLY_PATH, Arrival, SoakWorker

#: Statuses that guarantee that the request did not run and never will.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_UNAUTHENTICATED = 401
#: Time after an acknowledged leaving in which requests may still arrive, plus an
#: allowance for scheduling delays of the soak process.
_DRAIN_LIMIT_S = 2.0 + 0.3
#: Excess over the route's timeout from which a response is late.  The soak process
#: reads the responses of all clients, so it adds delays of its own.
_LATE_AFTER_S = 1.0
#: Number of crashes after which a request must be quarantined.
_QUARANTINE_CRASHES = 3
#: Time in which all stable nodes must learn of the quarantine.
_QUARANTINE_PROPAGATION_S = 3.0
#: Runs that the whole fleet may still allow after that.
_MAX_RUNS_AFTER = 3
#: Minimum share of requests that succeed once all faults have ended.
_MIN_SERVED_SHARE = 0.9


def _never(acknowledged_at: float) -> bool:
    return False


class Checks:
    """Collects violations of invariants.

    Parameters
    ==========

    workers : list of SoakWorker
        Workers, whose arrivals say which requests ran.
    timeout : float or None
        Timeout of routes in seconds; None disables the check of response times.
    keys : KeyRing
        The keys of all clients.
    is_forgotten : callable
        Returns whether neither the store nor a node can remember what was
        acknowledged at a time.
    """

    def __init__(
        self,
        workers: list[SoakWorker],
        timeout: float | None,
        keys: KeyRing,
        is_forgotten: Callable[[float], bool] = _never,
    ) -> None:
        self.violations: list[Violation] = []
        self._workers = workers
        self._timeout = timeout
        self._keys = keys
        self._is_forgotten = is_forgotten
        self._records: dict[str, Record] = {}
        self._runs: dict[str, list[Arrival]] = {}
        self._reviewed = [0] * len(workers)
        self._newest: dict[int, int] = {}

    @property
    def records(self) -> Iterable[Record]:
        """Records of all requests so far."""
        return self._records.values()

    def on_sent(self, record: Record) -> None:
        """Register a request before it is sent."""
        self._records[record.request_id] = record

    def on_ended(self, record: Record, disturbed: bool) -> None:
        """Check the response that a client got, or its absence."""
        self.review()
        self._check_time(record, disturbed)
        if record.served:
            expected = f"{record.request_id} {record.text}"
            if record.body != expected or not record.stamp.endswith(".200"):
                self._add_violation("mixed", record.ended, f"{record}")
        elif record.stamp and not record.stamp.endswith(f".{record.status}"):
            self._add_violation("mixed", record.ended, f"{record}")
        if record.status in _NOT_RUN_STATUSES:
            self._check_not_run(record)
        if record.status == _UNAUTHENTICATED:
            self._check_unauthenticated(record)
        if record.advertised:
            self._record_forwarded(record)

    def on_probe(self, pid: int, version: int, status: int, at: float) -> None:
        """Check that no process loses a configuration version that it had in force."""
        if 200 <= status < 300:
            self._newest[pid] = max(version, self._newest.get(pid, 0))
        elif status == 404 and version <= self._newest.get(pid, 0):
            text = f"process {pid} had version {self._newest[pid]}, lost {version}"
            self._add_violation("configuration", at, text)

    def review(self) -> None:
        """Check the requests that arrived at workers since the last call."""
        for index, worker in enumerate(self._workers):
            arrivals = worker.arrivals[self._reviewed[index] :]
            self._reviewed[index] = len(worker.arrivals)
            for arrival in arrivals:
                self._check_arrival(worker, arrival)

    def check_recovery(self, since: float) -> None:
        """Check the success rate of requests sent since all faults ended.

        Requests that must be refused do not count: deadly ones, and those with a key
        that no node has to accept.
        """
        recent = [
            r
            for r in self.records
            if r.sent >= since
            and r.ended is not None
            and not self._is_rightly_refused(r)
        ]
        served = sum(r.served for r in recent)
        if not recent or served < _MIN_SERVED_SHARE * len(recent):
            statuses = sorted({f"{r.node} {r.status} {r.error}" for r in recent})
            text = f"{served} of {len(recent)} served; {'; '.join(statuses)}"
            self._add_violation("recovery", since, text)

    def check_deadly(self) -> None:
        """Check how often stable nodes let deadly requests run."""
        runs = sorted(
            (arrival.at, self._was_stable(arrival))
            for worker in self._workers
            for arrival in worker.arrivals
            if arrival.fingerprint.split()[1] == DEADLY_PATH
        )
        if len(runs) < _QUARANTINE_CRASHES:
            return
        quarantined_at = runs[_QUARANTINE_CRASHES - 1][0] + _QUARANTINE_PROPAGATION_S
        after = [at for at, stable in runs if at > quarantined_at and stable]
        if len(after) > _MAX_RUNS_AFTER:
            times = ", ".join(f"{at:.2f}" for at, _ in runs)
            self._add_violation(
                "budget", after[_MAX_RUNS_AFTER], f"deadly request ran at {times} s"
            )

    def check_retries(self) -> None:
        """Check the retries of all requests so far."""
        violation = check_retries(self._workers, self.records)
        if violation is not None:
            self.violations.append(violation)

    def add_violation(self, invariant: str, at: float, text: str) -> None:
        """Add a violation that was detected elsewhere."""
        self._add_violation(invariant, at, text)

    def has_run(self, request_id: str) -> bool:
        """Return whether a worker started to run a request."""
        return request_id in self._runs

    def _check_arrival(self, worker: SoakWorker, arrival: Arrival) -> None:
        runs = self._runs.setdefault(arrival.request_id, [])
        runs.append(arrival)
        record = self._records.get(arrival.request_id)
        if record is None or record.text != arrival.fingerprint:
            self._add_violation("unasked", arrival.at, f"{arrival}")
            return
        if not record.idempotent and len(runs) > 1:
            self._add_violation("twice", arrival.at, f"{runs}")
        if record.status in _NOT_RUN_STATUSES:
            self._check_not_run(record)
        if self._keys.must_be_rejected(record.key, record.sent):
            self._add_violation("revoked", arrival.at, f"{arrival} of {record}")
        if arrival.has_key or arrival.account != ACCOUNT_NAME:
            self._add_violation("unasked", arrival.at, f"{arrival}")
        drained_at = worker.drained_at.get(arrival.incarnation)
        if (
            drained_at is not None
            and arrival.at > drained_at + _DRAIN_LIMIT_S
            and not self._is_forgotten(drained_at)
        ):
            text = (
                f"{arrival}, {arrival.at - drained_at:.2f} s after the acknowledgement"
            )
            self._add_violation("drain", arrival.at, text)
        self._check_advertised(worker, record, arrival)

    def _is_rightly_refused(self, record: Record) -> bool:
        if record.text.split()[1] == DEADLY_PATH:
            return True
        return record.status == _UNAUTHENTICATED and not self._keys.must_be_accepted(
            record.key, record.sent
        )

    def _record_forwarded(self, record: Record) -> None:
        incarnation = record.stamp.rpartition(".")[0]
        for worker in self._workers:
            for advertised in worker.advertisements:
                if advertised.incarnation == incarnation:
                    advertised.on_forwarded(record)

    def _check_advertised(
        self, worker: SoakWorker, record: Record, arrival: Arrival
    ) -> None:
        for advertised in worker.advertisements:
            if advertised.incarnation != arrival.incarnation:
                continue
            for invariant, text in (
                ("leaving", advertised.check_leaving(record, arrival.at)),
                ("limit", advertised.check_limit(record, arrival.at)),
            ):
                if text is not None:
                    self._add_violation(invariant, arrival.at, text)

    def _was_stable(self, arrival: Arrival) -> bool:
        record = self._records.get(arrival.request_id)
        return record is None or record.stable

    def _check_time(self, record: Record, disturbed: bool) -> None:
        took = record.ended - record.sent
        late = self._timeout is not None and took > self._timeout + _LATE_AFTER_S
        if record.status and late and not disturbed:
            self._add_violation("time", record.ended, f"{record} after {took:.2f} s")

    def _check_unauthenticated(self, record: Record) -> None:
        if self._keys.must_be_accepted(record.key, record.sent):
            self._add_violation("denied", record.ended, f"{record}")

    def _check_not_run(self, record: Record) -> None:
        # An idempotent request may have run and failed in an earlier attempt.
        runs = self._runs.get(record.request_id, ())
        if runs and not record.idempotent:
            self._add_violation("refused", record.ended, f"{record}, ran: {runs}")

    def _add_violation(self, invariant: str, at: float, text: str) -> None:
        self.violations.append(Violation(invariant, at, text))
