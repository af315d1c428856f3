"""Replicated set of requests that are refused because they crash upstreams."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from rattanfork_core.clock import Clock
from rattanfork_core.quarantine.report import CrashReport, SuccessReport

#: Crashes after which a request is quarantined.  A single crash may have another cause,
#: or be caused by another request that was in flight at the same time.
_CRASH_THRESHOLD = 2
#: Seconds of quarantine after the last crash, and factor for each further crash.  Then
#: the request is accepted again, as by a half-open circuit breaker.
_BASE_DURATION_S = 60.0
_DURATION_FACTOR = 5.0
_MAX_DURATION_S = 24 * 3600.0
#: A success clears a request of all crashes before it, and of those within these
#: seconds after it: a request that crashes upstreams does not succeed at others.
_SUCCESS_VALIDITY_S = 60.0
#: Seconds for which a success is kept, to be compared with late crash reports.
_SUCCESS_RETENTION_S = 600.0
#: Seconds for which a suspect of a single crash is kept.
_SUSPECT_RETENTION_S = 3600.0
_MAX_SUSPECTS = 8192
_MAX_CRASHES = 512
#: Times that a node sends a new report; each node that receives it does the same.
_TRANSMISSIONS_PER_NODE = 3
#: Size limit of one datagram, as a number of fingerprints, and size of the other fields
#: of a report in the same unit.
_MAX_FINGERPRINTS_PER_DATAGRAM = 100
_REPORT_OVERHEAD = 3


@dataclass(slots=True)
class _Suspect:
    #: Hashes of the upstream incarnations that crashed while it was in flight.
    crashes: set[int] = field(default_factory=set)
    last_crash: float = float("-inf")

    @property
    def quarantined_until(self) -> float:
        further_crashes = len(self.crashes) - _CRASH_THRESHOLD
        if further_crashes < 0:
            return float("-inf")
        # The exponent is bounded, as the power overflows for large ones.
        duration = _BASE_DURATION_S * _DURATION_FACTOR ** min(further_crashes, 10)
        return self.last_crash + min(duration, _MAX_DURATION_S)


@dataclass(slots=True)
class _Crash:
    at: float
    fingerprints: set[int] = field(default_factory=set)
    #: Number of transmissions so far, by fingerprint still to be disseminated.
    pending: dict[int, int] = field(default_factory=dict)


class Quarantine:
    """Requests that were in flight at several crashes of upstreams.

    Explanation
    ===========

    A request that crashes every upstream that runs it ("query of death") takes down a
    whole service if nodes retry it at other instances.  Therefore the gate in front
    of a crashed upstream reports the suspects of the crash, nodes disseminate the
    reports, and a request that was in flight at two crashes is refused by all nodes.
    Requests are identified by their fingerprint, which is the same for each attempt.

    Crash reports form a grow-only set, so their order and repetition do not matter.
    Success reports clear suspects: a popular request may be in flight at two crashes
    by chance.

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
    >>> node.contains(7), node.contains(8)
    (True, False)
    >>> other.receive(node.updates())
    True
    >>> other.contains(7)
    True
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspects: dict[int, _Suspect] = {}
        self._crashes: dict[int, _Crash] = {}
        #: Suspects that reached the threshold, also after their quarantine ended.
        self._repeated: set[int] = set()
        #: Times of the last successes, and transmissions of those to disseminate.
        self._successes: dict[int, float] = {}
        self._pending_successes: dict[int, int] = {}
        self._active_until = float("-inf")
        self._next_report_index = 0
        self._version = 0

    def __len__(self) -> int:
        return len(self._suspects)

    @property
    def has_updates(self) -> bool:
        """Whether there may be anything to disseminate."""
        return bool(self._crashes or self._pending_successes)

    @property
    def version(self) -> int:
        """Increases when a quarantine starts, is extended, or ends by a success."""
        return self._version

    @property
    def active(self) -> bool:
        """Whether any request may be quarantined now."""
        return self._clock.now() < self._active_until

    @property
    def fingerprints(self) -> list[int]:
        """Fingerprints of the requests that are quarantined now."""
        now = self._clock.now()
        return [f for f in self._repeated if now < self._suspects[f].quarantined_until]

    def contains(self, fingerprint: int) -> bool:
        """Return whether a request is quarantined now."""
        return self.seconds_left(fingerprint) > 0

    def seconds_left(self, fingerprint: int) -> float:
        """Return the seconds until a quarantine ends; 0 if there is none."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.quarantined_until - self._clock.now())

    def may_retry(self, fingerprint: int) -> bool:
        """Return whether a request may be retried after its upstream was lost.

        A request that was quarantined before is not retried, so that it crashes one
        upstream at most when it is accepted again.
        """
        return fingerprint not in self._repeated

    def report(self, incarnation: int, fingerprints: Iterable[int]) -> None:
        """Record a crash of the upstream beside this node.

        Parameters
        ==========

        incarnation : int
            Hash of the incarnation, see :func:`incarnation_hash`.
        fingerprints : iterable of int
            Fingerprints of the suspects.
        """
        self._add(incarnation, self._clock.now(), fingerprints)

    def on_success(self, fingerprint: int) -> None:
        """Record that the upstream beside this node completed a request."""
        if fingerprint in self._suspects:
            self._clear(fingerprint, self._clock.now())
            self._pending_successes[fingerprint] = 0

    def receive_successes(self, reports: Iterable[SuccessReport]) -> bool:
        """Merge success reports of another node; return whether any of them is new."""
        now = self._clock.now()
        new = False
        for age, fingerprints in reports:
            for fingerprint in fingerprints:
                if self._clear(fingerprint, now - age / 1000):
                    self._pending_successes[fingerprint] = 0
                    new = True
        return new

    def receive(self, reports: Iterable[CrashReport]) -> bool:
        """Merge crash reports of another node; return whether any of them is new."""
        now = self._clock.now()
        added = [
            self._add(r.incarnation, now - r.age / 1000, r.fingerprints)
            for r in reports
        ]
        return any(added)

    def updates(self) -> list[CrashReport]:
        """Return one datagram of new crash reports, and count them as sent."""
        reports = []
        capacity = _MAX_FINGERPRINTS_PER_DATAGRAM
        for incarnation, crash in self._crashes.items():
            chosen = list(crash.pending)[: max(0, capacity - _REPORT_OVERHEAD)]
            if not chosen:
                continue
            capacity -= _REPORT_OVERHEAD + len(chosen)
            for fingerprint in chosen:
                crash.pending[fingerprint] += 1
                if crash.pending[fingerprint] >= _TRANSMISSIONS_PER_NODE:
                    del crash.pending[fingerprint]
            reports.append(self._make_report(incarnation, chosen))
        return reports

    def success_updates(self) -> list[SuccessReport]:
        """Return one datagram of new success reports, and count them as sent."""
        chosen = list(self._pending_successes)[
            : _MAX_FINGERPRINTS_PER_DATAGRAM // _REPORT_OVERHEAD
        ]
        for fingerprint in chosen:
            self._pending_successes[fingerprint] += 1
            if self._pending_successes[fingerprint] >= _TRANSMISSIONS_PER_NODE:
                del self._pending_successes[fingerprint]
        now = self._clock.now()
        return [
            SuccessReport(int(1000 * (now - self._successes[f])), (f,))
            for f in chosen
            if f in self._successes
        ]

    def anti_entropy(self) -> list[CrashReport]:
        """Return one datagram of crash reports on the quarantined requests.

        The caller sends it about once a second, for nodes that have just started or
        were partitioned off.  If one datagram cannot hold all reports, successive
        calls return them in turn.
        """
        reports = list(self.quarantined_reports())
        capacity = _MAX_FINGERPRINTS_PER_DATAGRAM
        chosen: list[CrashReport] = []
        for offset in range(len(reports)):
            report = reports[(self._next_report_index + offset) % len(reports)]
            size = _REPORT_OVERHEAD + len(report.fingerprints)
            if size > capacity and chosen:
                break
            capacity -= size
            first_fingerprints = report.fingerprints[
                : _MAX_FINGERPRINTS_PER_DATAGRAM - _REPORT_OVERHEAD
            ]
            chosen.append(report._replace(fingerprints=first_fingerprints))
        self._next_report_index += len(chosen)
        return chosen

    def quarantined_reports(self) -> Iterator[CrashReport]:
        """Return the crash reports on all requests that are quarantined now."""
        quarantined = set(self.fingerprints)
        for incarnation, crash in self._crashes.items():
            chosen = sorted(quarantined & crash.fingerprints)
            if chosen:
                yield self._make_report(incarnation, chosen)

    def _make_report(self, incarnation: int, fingerprints: list[int]) -> CrashReport:
        age = self._clock.now() - self._crashes[incarnation].at
        return CrashReport(incarnation, max(0, int(age * 1000)), tuple(fingerprints))

    def _add(self, incarnation: int, at: float, fingerprints: Iterable[int]) -> bool:
        now = self._clock.now()
        if now - at > _MAX_DURATION_S:
            return False
        crash = self._crashes.get(incarnation)
        at = crash.at if crash else at
        new = set(fingerprints) - (crash.fingerprints if crash else set())
        new = {f for f in new if at > self._cleared_until(f)}
        if not new:
            return False
        if crash is None:
            self._evict(now)
            crash = self._crashes[incarnation] = _Crash(at)
        crash.fingerprints |= new
        for fingerprint in new:
            crash.pending[fingerprint] = 0
            self._add_suspect(fingerprint, incarnation, crash.at)
        return True

    def _cleared_until(self, fingerprint: int) -> float:
        return self._successes.get(fingerprint, float("-inf")) + _SUCCESS_VALIDITY_S

    def _clear(self, fingerprint: int, at: float) -> bool:
        """Record a success; return whether it is later than the last one known."""
        if at <= self._successes.get(fingerprint, float("-inf")):
            return False
        self._limit_successes()
        self._successes[fingerprint] = at
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return True
        quarantined = self.contains(fingerprint)
        for incarnation in list(suspect.crashes):
            if self._crashes[incarnation].at <= at + _SUCCESS_VALIDITY_S:
                self._forget(incarnation, fingerprint)
        if quarantined and not self.contains(fingerprint):
            self._version += 1
        return True

    def _limit_successes(self) -> None:
        if len(self._successes) >= _MAX_SUSPECTS:
            earliest = self._clock.now() - _SUCCESS_RETENTION_S
            kept = {f: at for f, at in self._successes.items() if at > earliest}
            self._successes = kept if len(kept) < _MAX_SUSPECTS else {}

    def _add_suspect(self, fingerprint: int, incarnation: int, at: float) -> None:
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        suspect.crashes.add(incarnation)
        suspect.last_crash = max(suspect.last_crash, at)
        if len(suspect.crashes) >= _CRASH_THRESHOLD:
            self._repeated.add(fingerprint)
        if suspect.quarantined_until > self._clock.now():
            self._version += 1
            self._active_until = max(self._active_until, suspect.quarantined_until)

    def _evict(self, now: float) -> None:
        """Drop expired suspects, then those of single crashes, then the oldest ones."""
        for incarnation, crash in list(self._crashes.items()):
            for fingerprint in list(crash.fingerprints):
                repeated = fingerprint in self._repeated
                retention = _MAX_DURATION_S if repeated else _SUSPECT_RETENTION_S
                if now - self._suspects[fingerprint].last_crash > retention:
                    self._forget(incarnation, fingerprint)
        for singles_only in (True, False):
            for incarnation, crash in list(self._crashes.items()):
                if self._below_limits:
                    return
                for fingerprint in list(crash.fingerprints):
                    if fingerprint not in self._repeated or not singles_only:
                        self._forget(incarnation, fingerprint)

    @property
    def _below_limits(self) -> bool:
        below_suspect_limit = len(self._suspects) < _MAX_SUSPECTS
        return below_suspect_limit and len(self._crashes) < _MAX_CRASHES

    def _forget(self, incarnation: int, fingerprint: int) -> None:
        crash = self._crashes[incarnation]
        crash.fingerprints.discard(fingerprint)
        crash.pending.pop(fingerprint, None)
        if not crash.fingerprints:
            del self._crashes[incarnation]
        suspect = self._suspects[fingerprint]
        suspect.crashes.discard(incarnation)
        if len(suspect.crashes) < _CRASH_THRESHOLD:
            self._repeated.discard(fingerprint)
        if not suspect.crashes:
            del self._suspects[fingerprint]
