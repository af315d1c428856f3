"""Requests and slot time of client accounts over time, from log lines."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from rattanfork_core.log_reports.line_fields import (
    checked_span,
    left_out_fields,
    request_fields,
    run_fields,
)
from rattanfork_core.log_reports.missing_lines import MissingLineCounter, MissingLines
from rattanfork_core.log_reports.sampled_roots import RequestResult, SampledRoots
from rattanfork_core.trace.log_line import LogLine
from rattanfork_core.trace.log_sampler import SAMPLE_RATE, is_sampled

#: In place of an account's name, which has no parentheses.
NO_ACCOUNT = "(none)"
UNKNOWN_ACCOUNT = "(unknown)"

_Shares = dict[str, float]


@dataclass(frozen=True, slots=True)
class AccountLoad:
    """Requests and slot time of a client account.

    Parameters
    ==========

    account : str
        The account; :data:`NO_ACCOUNT` for requests without one, and
        :data:`UNKNOWN_ACCOUNT` for runs of requests without a request line.
    sent : float
        Requests, estimated from the sample if lines were left out.
    in_time : float
        Those answered completely and in time: the difference of ``sent`` and the
        others, whose lines are not sampled.
    late, failed, refused : int
        Request lines with these results.
    slot_shares : dict
        Share of the slot time of each service.
    """

    account: str
    sent: float
    in_time: float
    late: int
    failed: int
    refused: int
    slot_shares: dict[str, float]


@dataclass(frozen=True, slots=True)
class AccountInterval:
    """Load of an account in an interval.

    Parameters
    ==========

    begins : float
        Start of the interval, in seconds since 1970.
    load : AccountLoad
        The load; requests and runs count in the interval in which they ended.
    """

    begins: float
    load: AccountLoad


@dataclass(frozen=True, slots=True)
class AccountLoadReport:
    """Load of all accounts.

    Parameters
    ==========

    intervals : list of AccountInterval
        By interval and account.
    accounts : list of AccountLoad
        Over all intervals, by account.
    slot_seconds : dict
        Slot time of each service in seconds, estimated for all requests.
    exact : bool
        Whether no node left out lines, so that ``sent`` counts lines.
    sampled_requests : int
        Requests that slot shares are estimated from.
    missing : MissingLines
        Lines that nodes left out.
    lines, malformed : int
        Lines of the kinds used, and those of them with malformed fields.
    """

    intervals: list[AccountInterval]
    accounts: list[AccountLoad]
    slot_seconds: dict[str, float]
    exact: bool
    sampled_requests: int
    missing: MissingLines
    lines: int
    malformed: int


class _RequestCounts:
    """Request lines of an account, by result, and the number in the sample."""

    def __init__(self) -> None:
        self.by_result: Counter[RequestResult] = Counter()
        self.sampled = 0

    def add(self, result: RequestResult, sampled: bool) -> None:
        """Count a request line."""
        self.by_result[result] += 1
        self.sampled += sampled

    def load(
        self, account: str, exact: bool, slot_shares: dict[str, float]
    ) -> AccountLoad:
        """Return the load of the account.

        Requests in the sample have a line whatever their result, so their number
        over the sample rate estimates the requests sent; there are at least as many
        as lines.
        """
        lines = self.by_result.total()
        sent = float(lines) if exact else max(lines, self.sampled / SAMPLE_RATE)
        lost = lines - self.by_result[RequestResult.IN_TIME]
        return AccountLoad(
            account,
            sent,
            sent - lost,
            self.by_result[RequestResult.LATE],
            self.by_result[RequestResult.FAILED],
            self.by_result[RequestResult.REFUSED],
            slot_shares,
        )


class AccountLoadCounter:
    """Adds up the load of accounts while lines are read once, in any order.

    Memory is bounded by the accounts of the configuration and the intervals, and by
    the requests of the sample that are held for their slot time.

    Parameters
    ==========

    span : float
        Length of each interval in seconds; above 0.

    Raises
    ======

    ValueError
        If the span is not above 0.
    """

    def __init__(self, span: float) -> None:
        self._span = checked_span(span)
        self._roots = SampledRoots()
        self._intervals: dict[tuple[float, str], _RequestCounts] = {}
        self._totals: dict[str, _RequestCounts] = {}
        self._missing = MissingLineCounter()
        self._counted_lines = self._lines = self._malformed = 0
        self._handlers = {
            "request": self._add_request,
            "run": self._add_run,
            "counted": self._add_counted,
        }

    def add(self, line: LogLine) -> None:
        """Add a line; lines that have malformed fields are only counted."""
        handler = self._handlers.get(line.kind)
        if handler is None:
            return
        self._lines += 1
        if not handler(line):
            self._malformed += 1

    def report(self) -> AccountLoadReport:
        """Return the report on the lines added so far."""
        runs = sum(record.runs for record in self._roots)
        missing = self._missing.bound(runs / max(1, len(self._roots)))
        exact = self._counted_lines > 0 and not any(missing.left_out.values())
        interval_shares, total_shares = self._slot_shares()
        keys = sorted(self._intervals.keys() | interval_shares.keys())
        accounts = sorted(self._totals.keys() | total_shares.keys())
        none = _RequestCounts()
        return AccountLoadReport(
            [
                AccountInterval(
                    begins,
                    self._intervals.get((begins, account), none).load(
                        account, exact, interval_shares.get((begins, account), {})
                    ),
                )
                for begins, account in keys
            ],
            [
                self._totals.get(account, none).load(
                    account, exact, total_shares.get(account, {})
                )
                for account in accounts
            ],
            self._slot_seconds(),
            exact,
            len(self._roots),
            missing,
            self._lines,
            self._malformed,
        )

    def _slot_seconds(self) -> dict[str, float]:
        seconds: Counter[str] = Counter()
        for record in self._roots:
            for (service, _), slot_ms in record.slot_ms.items():
                seconds[service] += slot_ms / 1000 / self._roots.fraction
        return dict(sorted(seconds.items()))

    def _slot_shares(
        self,
    ) -> tuple[dict[tuple[float, str], _Shares], dict[str, _Shares]]:
        """Return the slot shares by interval and account, and by account."""
        in_interval: dict[tuple[float, str], Counter[str]] = defaultdict(Counter)
        overall: dict[str, Counter[str]] = defaultdict(Counter)
        for record in self._roots:
            unknown = record.result is RequestResult.UNKNOWN
            account = UNKNOWN_ACCOUNT if unknown else record.account or NO_ACCOUNT
            for (service, begins), slot_ms in record.slot_ms.items():
                in_interval[begins, service][account] += slot_ms
                overall[service][account] += slot_ms
        interval_shares: dict[tuple[float, str], _Shares] = defaultdict(dict)
        for (begins, service), slot_ms in in_interval.items():
            for account, share in _shares(slot_ms):
                interval_shares[begins, account][service] = share
        total_shares: dict[str, _Shares] = defaultdict(dict)
        for service, slot_ms in overall.items():
            for account, share in _shares(slot_ms):
                total_shares[account][service] = share
        return interval_shares, total_shares

    def _add_request(self, line: LogLine) -> bool:
        fields = request_fields(line)
        if fields is None:
            return False
        sampled = is_sampled(line.request_id)
        if fields.is_plain:
            self._missing.add_plain(line.instance, sampled)
        if fields.is_call:
            return True
        account = fields.account or NO_ACCOUNT
        key = (self._interval(line), account)
        for counts, group in ((self._intervals, key), (self._totals, account)):
            entry = counts.get(group)
            if entry is None:
                entry = counts[group] = _RequestCounts()
            entry.add(fields.result, sampled)
        if sampled and self._roots.holds(line.request_id):
            self._roots.add_request(line.request_id, fields.result, fields.account)
        return True

    def _add_run(self, line: LogLine) -> bool:
        fields = run_fields(line)
        if fields is None:
            return False
        sampled = is_sampled(line.request_id)
        if fields.is_plain:
            self._missing.add_plain(line.instance, sampled)
        if sampled and self._roots.holds(line.request_id):
            self._roots.add_run(
                line.request_id, fields.service, self._interval(line), fields.run_ms
            )
        return True

    def _add_counted(self, line: LogLine) -> bool:
        left_out = left_out_fields(line)
        if left_out is None:
            return False
        self._counted_lines += 1
        self._missing.add_left_out(line.instance, left_out)
        return True

    def _interval(self, line: LogLine) -> float:
        return line.at // self._span * self._span


def measure_account_load(lines: Iterable[LogLine], span: float) -> AccountLoadReport:
    """Measure the requests and the slot time of client accounts over time.

    Parameters
    ==========

    lines : iterable of LogLine
        Lines of any nodes, in any order.
    span : float
        Length of each interval in seconds; above 0.

    Raises
    ======

    ValueError
        If the span is not above 0.

    Examples
    ========

    >>> run = LogLine(7.5, "n2", "run", "r26.1", {"operation": "lookup/claims",
    ...     "outcome": "answered", "status": 200, "run_ms": 50.0})
    >>> request = LogLine(7.6, "n1", "request", "r26", {"account": "acme",
    ...     "outcome": "answered", "status": 200, "ms": 90.0, "objective_ms": 80.0})
    >>> [load] = measure_account_load([run, request], span=1).accounts
    >>> load.account, load.sent, load.late, load.slot_shares
    ('acme', 16.0, 1, {'claims': 1.0})
    """
    counter = AccountLoadCounter(span)
    for line in lines:
        counter.add(line)
    return counter.report()


def _shares(slot_ms: Mapping[str, float]) -> Iterator[tuple[str, float]]:
    """Yield the accounts with slot time, and their shares of it."""
    total = sum(slot_ms.values())
    for account, ms in sorted(slot_ms.items()):
        if ms:
            yield account, ms / total
