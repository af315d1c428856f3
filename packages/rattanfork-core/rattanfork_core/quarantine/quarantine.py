"""Which requests no upstream may run any more."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from rattanfork_core.clock import Clock
from rattanfork_core.quarantine.report import CrashReport

#: Incarnations that have to end under a request before it is quarantined: one may
#: end by chance, or by another request that was under way as well.
_ENDS = 2
#: Seconds for which it is quarantined after the last of them, and the factor by which
#: that grows with each further one.  Then it is tried once more: whoever was accused
#: by chance is served again, and a deadly request costs one upstream each time.
_HOLD = 300.0
_HOLD_GROWTH = 4.0
_LONGEST_HOLD = 24 * 3600.0
#: Seconds for which one end alone is remembered.
_SUSPECTED_FOR = 3600.0
_MOST_SUSPECTS = 8192
_MOST_CRASHES = 512
#: Times that a node passes a new report on: each node that receives it does the same.
_TOLD_TIMES = 3
#: Fingerprints in one datagram; with the head of each report they stay below its
#: longest size.
_MOST_TOLD = 100
#: Fingerprints that the head of a report counts as.
_HEAD = 3


@dataclass(slots=True)
class _Suspect:
    #: Incarnations that have ended under it.
    ends: set[int] = field(default_factory=set)
    #: When the last of them ended.
    last: float = float("-inf")

    @property
    def held_until(self) -> float:
        if len(self.ends) < _ENDS:
            return float("-inf")
        hold = _HOLD * _HOLD_GROWTH ** min(len(self.ends) - _ENDS, 10)
        return self.last + min(hold, _LONGEST_HOLD)


@dataclass(slots=True)
class _Crash:
    at: float
    fingerprints: set[int] = field(default_factory=set)
    #: What others are still to be told, and how many times.
    untold: dict[int, int] = field(default_factory=dict)


class Quarantine:
    """Knows the requests that end the upstreams that run them.

    Explanation
    ===========

    A request that crashes each upstream that runs it ("query of death") takes down a
    whole service if every node treats each attempt as new.  The gate of an upstream
    that has crashed reports what was under way there; nodes pass reports on.  A
    request under which two incarnations have ended is refused by all nodes.

    Reports only add up, so the order in which they arrive does not matter, nor does
    hearing one twice.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> node, other = Quarantine(ManualClock()), Quarantine(ManualClock())
    >>> node.report(1, [7, 8])
    >>> node.report(2, [7])
    >>> node.holds(7), node.holds(8)
    (True, False)
    >>> other.receive(node.news())
    True
    >>> other.holds(7)
    True
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspects: dict[int, _Suspect] = {}
        self._crashes: dict[int, _Crash] = {}
        #: Suspects under which enough incarnations have ended.
        self._convicted: set[int] = set()
        self._active_until = float("-inf")
        self._reminded = 0
        self._version = 0

    def __len__(self) -> int:
        return len(self._suspects)

    @property
    def version(self) -> int:
        """Grows whenever a request is quarantined, or for longer."""
        return self._version

    @property
    def active(self) -> bool:
        """Whether any request is quarantined now."""
        return self._clock.now() < self._active_until

    @property
    def held(self) -> list[int]:
        """Fingerprints of the requests that are quarantined now."""
        now = self._clock.now()
        return [f for f in self._convicted if now < self._suspects[f].held_until]

    def holds(self, fingerprint: int) -> bool:
        """Return whether a request must not run now."""
        return self.seconds_left(fingerprint) > 0

    def seconds_left(self, fingerprint: int) -> float:
        """Return for how long a request is quarantined; 0 if it is not."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.held_until - self._clock.now())

    def may_retry(self, fingerprint: int) -> bool:
        """Return whether a request whose upstream was lost may go to another.

        One that was quarantined before is tried at one upstream at a time.
        """
        return fingerprint not in self._convicted

    def report(self, incarnation: int, fingerprints: Iterable[int]) -> None:
        """Take note that an upstream beside this node has crashed.

        Parameters
        ==========

        incarnation : int
            Hash of the incarnation.
        fingerprints : iterable of int
            Requests that may have ended it.
        """
        self._add(incarnation, self._clock.now(), fingerprints)

    def receive(self, reports: Iterable[CrashReport]) -> bool:
        """Take in what another node knows; return whether any of it is new."""
        now = self._clock.now()
        added = [
            self._add(r.incarnation, now - r.age / 1000, r.fingerprints)
            for r in reports
        ]
        return any(added)

    def news(self) -> list[CrashReport]:
        """Return what is to be passed on now, at most a datagram of it."""
        reports = []
        room = _MOST_TOLD
        for incarnation, crash in self._crashes.items():
            chosen = list(crash.untold)[: max(0, room - _HEAD)]
            if not chosen:
                continue
            room -= _HEAD + len(chosen)
            for fingerprint in chosen:
                crash.untold[fingerprint] += 1
                if crash.untold[fingerprint] >= _TOLD_TIMES:
                    del crash.untold[fingerprint]
            reports.append(self._report_of(incarnation, chosen))
        return reports

    def reminder(self) -> list[CrashReport]:
        """Return a datagram of what is known of the requests quarantined now.

        Told about once a second, in turn if it is much: a node that has just started
        or was cut off learns of them so.
        """
        reports = list(self.held_reports())
        if not reports:
            return []
        room = _MOST_TOLD
        chosen = []
        for offset in range(len(reports)):
            report = reports[(self._reminded + offset) % len(reports)]
            cost = _HEAD + len(report.fingerprints)
            if cost > room and chosen:
                break
            room -= cost
            most = report.fingerprints[: _MOST_TOLD - _HEAD]
            chosen.append(report._replace(fingerprints=most))
        self._reminded += len(chosen)
        return chosen

    def held_reports(self) -> Iterator[CrashReport]:
        """Return all that is known of the requests that are quarantined now."""
        held = set(self.held)
        for incarnation, crash in self._crashes.items():
            chosen = sorted(held & crash.fingerprints)
            if chosen:
                yield self._report_of(incarnation, chosen)

    def _report_of(self, incarnation: int, fingerprints: list[int]) -> CrashReport:
        age = self._clock.now() - self._crashes[incarnation].at
        return CrashReport(incarnation, max(0, int(age * 1000)), tuple(fingerprints))

    def _add(self, incarnation: int, at: float, fingerprints: Iterable[int]) -> bool:
        now = self._clock.now()
        if now - at > _LONGEST_HOLD:
            return False
        crash = self._crashes.get(incarnation)
        new = set(fingerprints) - (crash.fingerprints if crash else set())
        if not new:
            return False
        if crash is None:
            self._make_room(now)
            crash = self._crashes[incarnation] = _Crash(at)
        crash.fingerprints |= new
        for fingerprint in new:
            crash.untold[fingerprint] = 0
            suspect = self._suspects.setdefault(fingerprint, _Suspect())
            suspect.ends.add(incarnation)
            suspect.last = max(suspect.last, crash.at)
            if len(suspect.ends) >= _ENDS:
                self._convicted.add(fingerprint)
            if suspect.held_until > now:
                self._version += 1
                self._active_until = max(self._active_until, suspect.held_until)
        return True

    def _make_room(self, now: float) -> None:
        """Forget what is long past, then the oldest single ends, then the oldest."""
        for incarnation, crash in list(self._crashes.items()):
            for fingerprint in list(crash.fingerprints):
                convicted = fingerprint in self._convicted
                kept = _LONGEST_HOLD if convicted else _SUSPECTED_FOR
                if now - self._suspects[fingerprint].last > kept:
                    self._forget(incarnation, fingerprint)
        for once in (True, False):
            for incarnation, crash in list(self._crashes.items()):
                if self._has_room:
                    return
                for fingerprint in list(crash.fingerprints):
                    if fingerprint not in self._convicted or not once:
                        self._forget(incarnation, fingerprint)

    @property
    def _has_room(self) -> bool:
        few_suspects = len(self._suspects) < _MOST_SUSPECTS
        return few_suspects and len(self._crashes) < _MOST_CRASHES

    def _forget(self, incarnation: int, fingerprint: int) -> None:
        crash = self._crashes[incarnation]
        crash.fingerprints.discard(fingerprint)
        crash.untold.pop(fingerprint, None)
        if not crash.fingerprints:
            del self._crashes[incarnation]
        suspect = self._suspects[fingerprint]
        suspect.ends.discard(incarnation)
        if len(suspect.ends) < _ENDS:
            self._convicted.discard(fingerprint)
        if not suspect.ends:
            del self._suspects[fingerprint]
