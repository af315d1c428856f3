"""What became of the requests of a run of stopped nodes."""

from collections import Counter
from collections.abc import Iterable, Mapping

from rattanfork_soak.exchange_record import ExchangeRecord, PlannedWork, WorkerRun
from rattanfork_soak.kept_clients import HalfClosingClient
from rattanfork_soak.lost_check import Verdict, judge, phase


class StopReport:
    """Counts of verdicts, and one line for each violation."""

    def __init__(self) -> None:
        self.verdicts: Counter[Verdict] = Counter()
        #: The same of clients that close their sending side.
        self.half_closed: Counter[str] = Counter()
        self.violations: list[str] = []
        #: Violations by verdict, kind of client and planned work.
        self.summary: Counter[str] = Counter()
        #: Requests that failed at nodes that were not stopped.
        self.failed: list[str] = []

    def check(
        self,
        records: Iterable[ExchangeRecord],
        runs: Mapping[str, list[WorkerRun]],
        works: Mapping[str, PlannedWork],
        over_at: float,
    ) -> None:
        """Judge all requests that ended before the end of the run."""
        for record in records:
            if record.ended is None or record.ended > over_at:
                # The end of the run kills all processes.
                continue
            self._check_one(record, runs.get(record.request_id, []), works[record.node])

    def _check_one(
        self, record: ExchangeRecord, runs: list[WorkerRun], work: PlannedWork
    ) -> None:
        verdict = judge(record, runs, work)
        if record.kind == HalfClosingClient.__name__:
            self.half_closed[str(verdict)] += 1
            return
        self.verdicts[verdict] += 1
        if verdict is Verdict.FAILED:
            self.failed.append(f"{record.ended:7.3f} s  {record}, runs: {runs}")
        if verdict.is_violation:
            text = f"{record}, {phase(record, work)}, runs: {runs}"
            self._add_violation(verdict, record, work, text)
        if len(runs) > 1 and not record.idempotent:
            text = f"{record}, runs: {runs}"
            self._add_violation(Verdict.TWICE, record, work, text)

    def _add_violation(
        self, verdict: Verdict, record: ExchangeRecord, work: PlannedWork, text: str
    ) -> None:
        met = phase(record, work).partition(" at ")[0]
        self.summary[f"{verdict}; {record.kind}; {met}"] += 1
        self.violations.append(f"{record.ended:7.3f} s  {verdict}: {text}")
