"""Threshold and health reports of gates, disseminated to all nodes by gossip."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from math import ceil
from typing import NamedTuple

from rattanfork_core.clock import Clock
from rattanfork_core.hashing import hash64
from rattanfork_core.request.importance import RANK_LIMIT
from rattanfork_core.routing import InstanceState

#: Threshold of a gate that sheds nothing.
_OPEN = float(RANK_LIMIT)
#: Gates whose hashes are cached.
_MAX_CACHED_HASHES = 8192
#: Units of a threshold in a datagram, per rank.
_UNITS_PER_RANK = 50
#: Gates of one service that report their thresholds.  More would add no information,
#: and the bound keeps the traffic independent of the size of the service.
MAX_REPORTERS = 16
#: Share of a service's gates that have to shed a rank before an entry node sheds it:
#: below that the other gates have spare capacity, and calls that one gate sheds
#: succeed there.
_MIN_SHEDDING_SHARE = 0.67
#: Seconds for which a reported threshold is used unchanged: several times what a report
#: takes to reach all of a fleet of thousands of nodes.
_FRESH_SECONDS = 1.0
#: Seconds for which a report of an impaired upstream holds.  Recovery is reported at
#: once.
_IMPAIRED_HOLD_SECONDS = 2.5
#: Ranks by which a stale threshold rises each second: an entry node that receives no
#: reports neither sheds for ever nor admits everything at once.
_RISE_PER_SECOND = 1.0
#: Seconds after which any threshold has risen to all ranks, and its report is dropped.
_EXPIRY_SECONDS = _FRESH_SECONDS + RANK_LIMIT / _RISE_PER_SECOND
#: Seconds for which a gate continues to report after its last shedding or impairment.
_REPORT_RECOVERY_SECONDS = 2.0
#: Age in seconds up to which a node forwards a report, and at how many ticks it does.
#: Every node that receives a report does the same, so 3 ticks with 2 receivers each
#: leave hardly any node out.
_FORWARD_SECONDS = 1.0
_MAX_FORWARDS = 3
#: Seconds after which a gate that sheds nothing repeats an unchanged report.
_REPEAT_AFTER_SECONDS = 1.0
#: Reports in one datagram, newest first, and reports stored.  If a third of a fleet is
#: impaired, sending all reports in each datagram would cost more than the requests do.
_MAX_REPORTS_PER_DATAGRAM = 16
_MAX_STORED = 4096


class GateReport(NamedTuple):
    """Status of a gate, as sent in a datagram.

    Parameters
    ==========

    gate : int
        Short hash of the gate's member name.
    sequence : int
        Increases with each report of the gate.
    cut : int
        Threshold of the gate, the rank from which it sheds, in fiftieths of a rank.
    impaired : bool
        Whether its upstream fails or has become slow.
    age_ms : int
        Milliseconds between the gate's report and the sending of this datagram.
    """

    gate: int
    sequence: int
    cut: int
    impaired: bool
    age_ms: int

    @classmethod
    def from_fields(cls, fields: object) -> "GateReport":
        """Return the report in the decoded fields of a datagram.

        Raises
        ======

        ValueError
            If the fields are not those of a report.
        """
        if not isinstance(fields, tuple) or len(fields) != len(cls._fields):
            raise ValueError("gate report: expected a tuple of 5 fields")
        gate, sequence, cut, impaired, age_ms = fields
        if type(impaired) is not bool:
            raise ValueError("gate report: impaired must be a boolean")
        for number in (gate, sequence, cut, age_ms):
            if type(number) is not int or not 0 <= number < 1 << 62:
                raise ValueError(
                    "gate report: gate, sequence, cut and age_ms must be integers in "
                    "0..2**62-1"
                )
        return cls(*fields)


ReportsByService = Mapping[str, Iterable[GateReport]]


@dataclass(slots=True)
class _StoredReport:
    sequence: int
    #: Threshold of the gate, in ranks.
    cut: float
    impaired: bool
    reported_at: float
    #: How often this node has sent the report to others.
    forwards: int = 0


class GateReportTable:
    """Newest report of each gate, and the reports to forward to other nodes.

    Explanation
    ===========

    A node of a large fleet makes few requests, so the thresholds that it has from
    replies are seconds old.  It would admit requests that a service at the end of the
    call chain then sheds, after the work of all others is done, and it would continue
    to send to an upstream that fails.  Therefore gates report their status while they
    shed or while their upstream is impaired, and every node forwards the reports that
    it receives to a few others.  An entry node is thus informed without a request of
    its own.  The cost per node depends neither on the traffic nor on the size of the
    fleet, and is zero while no gate sheds and no upstream is impaired.

    Each datagram carries the age of its reports at sending, so no synchronised clocks
    are needed.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    own_name : str
        Member name of this node.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> gate = GateReportTable(ManualClock(), "donors-1@b")
    >>> gate.update_own("donors", 2.5, impaired=False)
    >>> entry = GateReportTable(ManualClock(), "claims-1@b")
    >>> entry.merge(gate.take_fresh())
    >>> entry.service_threshold("donors", instances=1)
    2.5
    >>> entry.service_threshold("donors", instances=3)
    5.0
    >>> entry.gate_state("donors", "donors-1@b")
    (2.5, 0.0)
    """

    def __init__(self, clock: Clock, own_name: str) -> None:
        self._clock = clock
        self._own_gate = gate_hash(own_name)
        self._stored: dict[tuple[str, int], _StoredReport] = {}
        self._by_service: dict[str, dict[int, _StoredReport]] = {}
        self._sequence = 0
        self._last_abnormal_at: float | None = None

    def __len__(self) -> int:
        return len(self._stored)

    def update_own(self, service: str, threshold: float | None, impaired: bool) -> None:
        """Report the status of this node's own gate; called several times a second.

        Parameters
        ==========

        service : str
            Service of the gate's upstream.
        threshold : float or None
            Rank from which the gate sheds; None if it is not one of the gates of its
            service that report their thresholds.
        impaired : bool
            Whether its upstream fails or has become slow.
        """
        now = self._clock.now()
        threshold = _OPEN if threshold is None else threshold
        if threshold < _OPEN or impaired:
            self._last_abnormal_at = now
        if (
            self._last_abnormal_at is None
            or now - self._last_abnormal_at > _REPORT_RECOVERY_SECONDS
        ):
            return
        last = self._stored.get((service, self._own_gate))
        if last is not None and _is_repetition(last, threshold, impaired, now):
            return
        self._sequence += 1
        self._store(
            service,
            self._own_gate,
            _StoredReport(self._sequence, threshold, impaired, now),
        )

    def take_fresh(self) -> dict[str, list[GateReport]]:
        """Return the reports to send now, by service; called at each gossip tick.

        Each report is returned by a few calls only; the result is empty if there are
        no recent reports.
        """
        if not self._stored:
            return {}
        now = self._clock.now()
        self._drop_expired(now)
        fresh = sorted(
            (now - stored.reported_at, key)
            for key, stored in self._stored.items()
            if stored.forwards < _MAX_FORWARDS
            and now - stored.reported_at < _FORWARD_SECONDS
        )
        reports: dict[str, list[GateReport]] = {}
        for age, (service, gate) in fresh[:_MAX_REPORTS_PER_DATAGRAM]:
            stored = self._stored[service, gate]
            stored.forwards += 1
            cut = round(stored.cut * _UNITS_PER_RANK)
            age_ms = int(age * 1000)
            report = GateReport(gate, stored.sequence, cut, stored.impaired, age_ms)
            reports.setdefault(service, []).append(report)
        return reports

    def merge(self, received: ReportsByService) -> None:
        """Store the reports in a datagram that are newer than the stored ones."""
        now = self._clock.now()
        for service, reports in received.items():
            for gate, sequence, cut, impaired, age_ms in reports:
                # Sequences restart with the gate's process, which also changes its
                # member name, so sequences of two processes are never compared.
                stored = self._stored.get((service, gate))
                if stored is None or sequence > stored.sequence:
                    reported_at = now - age_ms / 1000
                    stored = _StoredReport(
                        sequence, cut / _UNITS_PER_RANK, impaired, reported_at
                    )
                    self._store(service, gate, stored)

    def service_threshold(self, service: str, instances: int) -> float:
        """Return the rank from which most gates of a service shed.

        Parameters
        ==========

        service : str
            The service.
        instances : int
            Its number of instances; gates without a report count as open.
        """
        by_gate = self._by_service.get(service)
        if not by_gate:
            return _OPEN
        now = self._clock.now()
        thresholds = sorted([_threshold_at(stored, now) for stored in by_gate.values()])
        reporters = min(max(len(thresholds), instances), MAX_REPORTERS)
        index = ceil(_MIN_SHEDDING_SHARE * reporters) - 1
        return thresholds[index] if index < len(thresholds) else _OPEN

    def lowest_threshold(self, service: str) -> float:
        """Return the lowest rank from which any gate of a service sheds."""
        by_gate = self._by_service.get(service)
        if not by_gate:
            return _OPEN
        now = self._clock.now()
        return min(_threshold_at(stored, now) for stored in by_gate.values())

    def gate_state(self, service: str, name: str) -> tuple[float, float]:
        """Return the threshold of a gate, and until when its upstream is impaired.

        A gate without a report is open, and its upstream impaired until 0.
        """
        by_gate = self._by_service.get(service)
        stored = by_gate.get(gate_hash(name)) if by_gate else None
        if stored is None:
            return _OPEN, 0.0
        until = stored.reported_at + _IMPAIRED_HOLD_SECONDS if stored.impaired else 0.0
        return _threshold_at(stored, self._clock.now()), until

    def has_reports(self, service: str) -> bool:
        """Return whether any gate of a service has reported its status."""
        return service in self._by_service

    def shedding_instances(
        self, service: str, states: Iterable[InstanceState], rank: float
    ) -> set[str]:
        """Return the instances whose gates shed a rank, by their reports.

        Also updates until when the upstream of each instance counts as impaired.

        Parameters
        ==========

        service : str
            Service of the instances.
        states : iterable of InstanceState
            The instances.
        rank : float
            Rank of the request.
        """
        by_gate = self._by_service.get(service)
        shedding = set()
        now = self._clock.now()
        for state in states:
            stored = by_gate.get(gate_hash(state.name)) if by_gate else None
            if stored is None:
                state.impaired_until = 0.0
                continue
            impaired = stored.impaired
            state.impaired_until = (
                stored.reported_at + _IMPAIRED_HOLD_SECONDS if impaired else 0.0
            )
            if stored.cut <= rank and _threshold_at(stored, now) <= rank:
                shedding.add(state.name)
        return shedding

    def _store(self, service: str, gate: int, stored: _StoredReport) -> None:
        self._stored.pop((service, gate), None)
        if len(self._stored) >= _MAX_STORED:
            self._drop(next(iter(self._stored)))
        self._stored[service, gate] = stored
        self._by_service.setdefault(service, {})[gate] = stored

    def _drop_expired(self, now: float) -> None:
        expired = [
            key
            for key, stored in self._stored.items()
            if now - stored.reported_at > _EXPIRY_SECONDS
        ]
        for key in expired:
            self._drop(key)

    def _drop(self, key: tuple[str, int]) -> None:
        del self._stored[key]
        service, gate = key
        by_gate = self._by_service[service]
        del by_gate[gate]
        if not by_gate:
            del self._by_service[service]


@lru_cache(_MAX_CACHED_HASHES)
def gate_hash(name: str) -> int:
    """Return the 16-bit hash that identifies a gate in reports.

    Among the few gates of a service that report, two have the same hash in one of 500
    services; they then count as one gate.
    """
    return hash64(name) & 0xFFFF


def _threshold_at(stored: _StoredReport, now: float) -> float:
    stale_for = now - stored.reported_at - _FRESH_SECONDS
    return (
        stored.cut
        if stale_for <= 0
        else min(_OPEN, stored.cut + stale_for * _RISE_PER_SECOND)
    )


def _is_repetition(
    stored: _StoredReport, threshold: float, impaired: bool, now: float
) -> bool:
    if threshold < _OPEN or stored.cut < _OPEN or stored.impaired != impaired:
        return False
    return now - stored.reported_at < _REPEAT_AFTER_SECONDS
