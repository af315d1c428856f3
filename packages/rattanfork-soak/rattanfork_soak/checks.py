"""The promises, judged by what clients and workers saw."""

from collections.abc import Iterable

from rattanfork_soak.finding import Finding
from rattanfork_soak.keys import ACCOUNT_NAME, KeyRing
from rattanfork_soak.record import Record
from rattanfork_soak.worker import DEADLY_PATH, Arrival, SoakWorker

#: Statuses that promise that a request did not run and never will.
_NOT_RUN = frozenset((408, 421, 429, 503))
_UNAUTHENTICATED = 401
#: Seconds after an acknowledged leaving in which work may still arrive, with
#: what this process's own pauses add.
_DRAIN = 2.0 + 0.3
#: Seconds beyond a route's time at which an answer is late: this process reads
#: the answers of all clients, and has pauses of its own.
_LATE = 1.0
#: Workers that a request has to end before it counts as deadly, seconds in which all
#: nodes learn that, and runs of it that are allowed to the fleet from then on.
_DEADLY_ENDS = 3
_DEADLY_KNOWN = 3.0
_DEADLY_RUNS = 3
#: Share of the requests that is served once all faults have ended.
_RECOVERED = 0.9


class Checks:
    """Collects what breaks a promise.

    Parameters
    ==========

    workers : list of SoakWorker
        The truth of what ran.
    timeout : float or None
        Seconds after which a route's requests must have their answer; None
        judges no times.
    keys : KeyRing
        The keys of all clients.
    """

    def __init__(
        self, workers: list[SoakWorker], timeout: float | None, keys: KeyRing
    ) -> None:
        self.findings: list[Finding] = []
        self._workers = workers
        self._timeout = timeout
        self._keys = keys
        self._records: dict[str, Record] = {}
        self._runs: dict[str, list[Arrival]] = {}
        self._seen = [0] * len(workers)
        self._newest: dict[int, int] = {}

    @property
    def records(self) -> Iterable[Record]:
        """All requests so far."""
        return self._records.values()

    def on_sent(self, record: Record) -> None:
        """Take note of a request before it is sent."""
        self._records[record.request_id] = record

    def on_ended(self, record: Record, paused: bool) -> None:
        """Judge what a client got."""
        self.review()
        self._check_time(record, paused)
        if record.served:
            expected = f"{record.request_id} {record.text}"
            if record.body != expected or not record.stamp.endswith(".200"):
                self._find("mixed", record.ended, f"{record}")
        elif record.stamp and not record.stamp.endswith(f".{record.status}"):
            self._find("mixed", record.ended, f"{record}")
        if record.status in _NOT_RUN:
            self._check_not_run(record)
        if record.status == _UNAUTHENTICATED:
            self._check_denied(record)

    def on_probe(self, pid: int, version: int, status: int, at: float) -> None:
        """Judge a request on the route of one version, at one process."""
        if 200 <= status < 300:
            self._newest[pid] = max(version, self._newest.get(pid, 0))
        elif status == 404 and version <= self._newest.get(pid, 0):
            text = f"process {pid} knew version {self._newest[pid]}, forgot {version}"
            self._find("configuration", at, text)

    def review(self) -> None:
        """Judge what arrived at workers since the last time."""
        for place, worker in enumerate(self._workers):
            arrivals = worker.arrivals[self._seen[place] :]
            self._seen[place] = len(worker.arrivals)
            for arrival in arrivals:
                self._take(worker, arrival)

    def check_recovery(self, since: float) -> None:
        """Judge the requests sent since all faults had ended."""
        late = [r for r in self.records if r.sent >= since and r.ended is not None]
        served = sum(r.served for r in late)
        if not late or served < _RECOVERED * len(late):
            statuses = sorted({f"{r.node} {r.status} {r.error}" for r in late})
            text = f"{served} of {len(late)} served; {'; '.join(statuses)}"
            self._find("recovery", since, text)

    def check_deadly(self) -> None:
        """Judge how often nodes in touch let a request run that ends workers."""
        runs = sorted(
            (arrival.at, self._was_in_touch(arrival))
            for worker in self._workers
            for arrival in worker.arrivals
            if arrival.fingerprint.split()[1] == DEADLY_PATH
        )
        if len(runs) < _DEADLY_ENDS:
            return
        known = runs[_DEADLY_ENDS - 1][0] + _DEADLY_KNOWN
        after = [at for at, in_touch in runs if at > known and in_touch]
        if len(after) > _DEADLY_RUNS:
            times = ", ".join(f"{at:.2f}" for at, _ in runs)
            self._find(
                "budget", after[_DEADLY_RUNS], f"deadly request ran at {times} s"
            )

    def find(self, promise: str, at: float, text: str) -> None:
        """Add a finding of somebody else's."""
        self._find(promise, at, text)

    def ran(self, request_id: str) -> bool:
        """Return whether a worker began to work on a request."""
        return request_id in self._runs

    def _take(self, worker: SoakWorker, arrival: Arrival) -> None:
        runs = self._runs.setdefault(arrival.request_id, [])
        runs.append(arrival)
        record = self._records.get(arrival.request_id)
        if record is None or record.text != arrival.fingerprint:
            self._find("unasked", arrival.at, f"{arrival}")
            return
        if not record.idempotent and len(runs) > 1:
            self._find("twice", arrival.at, f"{runs}")
        if record.status in _NOT_RUN:
            self._check_not_run(record)
        if self._keys.has_ended(record.key, record.sent):
            self._find("revoked", arrival.at, f"{arrival} of {record}")
        if arrival.has_key or arrival.account != ACCOUNT_NAME:
            self._find("unasked", arrival.at, f"{arrival}")
        left = worker.left.get(arrival.incarnation)
        if left is not None and arrival.at > left + _DRAIN:
            text = f"{arrival}, {arrival.at - left:.2f} s after the acknowledgement"
            self._find("drain", arrival.at, text)

    def _was_in_touch(self, arrival: Arrival) -> bool:
        record = self._records.get(arrival.request_id)
        return record is None or record.in_touch

    def _check_time(self, record: Record, paused: bool) -> None:
        took = record.ended - record.sent
        late = self._timeout is not None and took > self._timeout + _LATE
        if record.status and late and not paused:
            self._find("time", record.ended, f"{record} after {took:.2f} s")

    def _check_denied(self, record: Record) -> None:
        if self._keys.is_known(record.key, record.sent):
            self._find("denied", record.ended, f"{record}")

    def _check_not_run(self, record: Record) -> None:
        # Of what may be repeated an earlier attempt may have run and failed.
        runs = self._runs.get(record.request_id, ())
        if runs and not record.idempotent:
            self._find("refused", record.ended, f"{record}, ran: {runs}")

    def _find(self, promise: str, at: float, text: str) -> None:
        self.findings.append(Finding(promise, at, text))
