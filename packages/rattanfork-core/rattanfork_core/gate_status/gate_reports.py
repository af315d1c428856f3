"""What the gates of the fleet tell of themselves."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil
from typing import NamedTuple

from rattanfork_core.clock import Clock
from rattanfork_core.hashing import hash64
from rattanfork_core.request.importance import RANK_LIMIT

_OPEN = float(RANK_LIMIT)
#: Parts of a rank in which thresholds travel.
_PARTS = 50
#: Gates of one service that tell their thresholds; more say nothing new, and what
#: travels does not grow with the service.
MAX_REPORTERS = 16
#: Share of a service's gates that has to shed a rank before a first node refuses
#: it: the others still have room, and calls that one gate sheds find them.
_MOST_SHED = 0.67
#: Seconds for which a report is believed as it is; several times what news takes
#: through a fleet of thousands.
_FRESH = 1.0
#: Seconds for which an upstream is taken to be impaired.  One that is sound again is
#: said to be so at once.
_IMPAIRED_FOR = 2.5
#: Ranks by which a threshold rises in a second after that: a first node that is cut
#: off from all news neither stays shut nor opens to everything at once.
_RISE = 1.0
#: Seconds after which nothing is left of any report.
_FORGOTTEN_AFTER = _FRESH + RANK_LIMIT / _RISE
#: Seconds for which a gate goes on telling that nothing is wrong any more.
_SOUND_TOLD_FOR = 2.0
#: Seconds for which a node passes a report on, and how many times: each node that
#: hears it does the same, so that six tellings leave out hardly anybody.
_PASSED_ON_FOR = 1.0
_TOLD_TIMES = 3
#: Seconds after which a gate that sheds nothing says again what has not changed.
_SAID_AGAIN_AFTER = 1.0
#: Reports in one datagram, the freshest, and those that are kept.  Where a third of a
#: fleet is impaired, all that is known of it in each datagram would cost more than the
#: requests do.
_MOST_TOLD = 16
_MOST_KEPT = 4096


class GateReport(NamedTuple):
    """What a gate has said of itself.

    Parameters
    ==========

    gate : int
        Short hash of the gate's member name.
    number : int
        Grows with each report of the gate.
    cut : int
        Rank from which it sheds, in fiftieths.
    impaired : bool
        Whether its upstream fails or has become slow.
    age : int
        Milliseconds since it was said.
    """

    gate: int
    sequence: int
    cut: int
    impaired: bool
    age_ms: int

    @classmethod
    def from_fields(cls, fields: object) -> "GateReport":
        """Return the report of a decoded datagram.

        Raises
        ======

        ValueError
            If the fields are not those of a report.
        """
        if not isinstance(fields, tuple) or len(fields) != len(cls._fields):
            raise ValueError("not a report of a gate")
        gate, number, cut, impaired, age = fields
        if type(impaired) is not bool:
            raise ValueError("report of a gate: flag expected")
        for figure in (gate, number, cut, age):
            if type(figure) is not int or not 0 <= figure < 1 << 62:
                raise ValueError("report of a gate: number expected")
        return cls(*fields)


#: Reports by service.
ReportsByService = Mapping[str, Iterable[GateReport]]


@dataclass(slots=True)
class _Known:
    number: int
    cut: float
    impaired: bool
    said_at: float
    #: How many times this node has passed it on.
    told: int = 0


class GateReportTable:
    """What this node knows of gates that it may never have sent anything to.

    Explanation
    ===========

    A node of a large fleet makes few requests, so what its own replies taught it of
    a deep service is seconds old: it lets in what the deep service then sheds, after
    all the work above is done, and goes on sending to an upstream that fails.  Here
    the gates say so themselves, for as long as they shed or their upstream is impaired,
    and every node passes on to a few others what it has heard.  So a first node knows
    without a request of its own, and what it costs depends neither on the traffic nor
    on the size of the fleet; on a calm day it is nothing.

    Reports age by the clock of who made them: each datagram tells how old they were
    when it left.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    me : str
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

    def __init__(self, clock: Clock, me: str) -> None:
        self._clock = clock
        self._me = gate_hash(me)
        self._known: dict[tuple[str, int], _Known] = {}
        self._by_service: dict[str, dict[int, _Known]] = {}
        self._number = 0
        self._troubled_at: float | None = None

    def __len__(self) -> int:
        return len(self._known)

    def update_own(self, service: str, cut: float | None, impaired: bool) -> None:
        """Say how this node's own gate fares; call it several times a second.

        Parameters
        ==========

        service : str
            Service of the gate's upstream.
        cut : float or None
            Rank from which it sheds; None if others of its service tell theirs.
        impaired : bool
            Whether its upstream fails or has become slow.
        """
        now = self._clock.now()
        cut = _OPEN if cut is None else cut
        if cut < _OPEN or impaired:
            self._troubled_at = now
        if self._troubled_at is None or now - self._troubled_at > _SOUND_TOLD_FOR:
            return
        last = self._known.get((service, self._me))
        if last is not None and _says_the_same(last, cut, impaired, now):
            return
        self._number += 1
        self._keep(service, self._me, _Known(self._number, cut, impaired, now))

    def take_fresh(self) -> dict[str, list[GateReport]]:
        """Return what is to be told to others now, by service; call it each tick.

        What was heard since the last few calls is told, and nothing if that is none.
        """
        if not self._known:
            return {}
        now = self._clock.now()
        self._drop_old(now)
        fresh = sorted(
            (now - known.said_at, key)
            for key, known in self._known.items()
            if known.told < _TOLD_TIMES and now - known.said_at < _PASSED_ON_FOR
        )
        told: dict[str, list[GateReport]] = {}
        for age, (service, gate) in fresh[:_MOST_TOLD]:
            known = self._known[service, gate]
            known.told += 1
            cut = round(known.cut * _PARTS)
            milliseconds = int(age * 1000)
            report = GateReport(gate, known.number, cut, known.impaired, milliseconds)
            told.setdefault(service, []).append(report)
        return told

    def merge(self, told: ReportsByService) -> None:
        """Take in what another node has told."""
        now = self._clock.now()
        for service, reports in told.items():
            for gate, number, cut, impaired, age in reports:
                # Numbers begin anew with a gate's process; its name does as well.
                known = self._known.get((service, gate))
                if known is None or number > known.number:
                    said_at = now - age / 1000
                    known = _Known(number, cut / _PARTS, impaired, said_at)
                    self._keep(service, gate, known)

    def service_threshold(self, service: str, instances: int) -> float:
        """Return the rank from which a service sheds.

        Parameters
        ==========

        service : str
            The service.
        instances : int
            How many instances it has; those that say nothing are open.

        Returns
        =======

        float
            Rank from which most of its gates shed.
        """
        told = self._by_service.get(service)
        if not told:
            return _OPEN
        now = self._clock.now()
        cuts = sorted(_aged(known, now) for known in told.values())
        reporters = min(max(len(cuts), instances), MAX_REPORTERS)
        place = ceil(_MOST_SHED * reporters) - 1
        return cuts[place] if place < len(cuts) else _OPEN

    def gate_state(self, service: str, name: str) -> tuple[float, float]:
        """Return the rank from which a gate sheds, and until when it is impaired.

        A gate that says nothing is open, and impaired until 0.
        """
        told = self._by_service.get(service)
        known = told.get(gate_hash(name)) if told else None
        if known is None:
            return _OPEN, 0.0
        until = known.said_at + _IMPAIRED_FOR if known.impaired else 0.0
        return _aged(known, self._clock.now()), until

    def _keep(self, service: str, gate: int, known: _Known) -> None:
        if len(self._known) >= _MOST_KEPT and (service, gate) not in self._known:
            self._drop(next(iter(self._known)))
        self._known[service, gate] = known
        self._by_service.setdefault(service, {})[gate] = known

    def _drop_old(self, now: float) -> None:
        gone = [
            key
            for key, known in self._known.items()
            if now - known.said_at > _FORGOTTEN_AFTER
        ]
        for key in gone:
            self._drop(key)

    def _drop(self, key: tuple[str, int]) -> None:
        del self._known[key]
        service, gate = key
        told = self._by_service[service]
        del told[gate]
        if not told:
            del self._by_service[service]


def gate_hash(name: str) -> int:
    """Return the short hash that stands for a gate in what is told.

    Of the few gates of a service that tell, two share one once in 500 services; they
    then count as one.
    """
    return hash64(name) & 0xFFFF


def _aged(known: _Known, now: float) -> float:
    stale = now - known.said_at - _FRESH
    return known.cut if stale <= 0 else min(_OPEN, known.cut + stale * _RISE)


def _says_the_same(known: _Known, cut: float, impaired: bool, now: float) -> bool:
    if cut < _OPEN or known.cut < _OPEN or known.impaired != impaired:
        return False
    return now - known.said_at < _SAID_AGAIN_AFTER
