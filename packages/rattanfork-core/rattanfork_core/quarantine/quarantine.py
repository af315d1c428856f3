"""Which requests are refused because upstreams crash under them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from rattanfork_core.clock import Clock
from rattanfork_core.quarantine.report import CrashReport, SuccessReport

#: Crashes after which a request is quarantined: one may have another cause, or another
#: request that was in flight as well.
_CRASHES_NEEDED = 2
#: Seconds of quarantine since the last crash, and their factor for each further crash.
#: After that the request is let in once more, as by a half-open circuit breaker.
_DURATION = 60.0
_DURATION_GROWTH = 5.0
_LONGEST_DURATION = 24 * 3600.0
#: Seconds for which a success clears a request of the crashes after it.  A request that
#: crashes upstreams does not succeed at others.
_CLEARED_FOR = 60.0
#: Seconds for which a success is remembered, so that older reports change nothing.
_SUCCESS_KEPT_FOR = 600.0
#: Seconds for which a suspect of a single crash is remembered.
_SUSPECTED_FOR = 3600.0
_MOST_SUSPECTS = 8192
_MOST_CRASHES = 512
#: Times that a node disseminates a new report; each node that receives it does so too.
_TRANSMISSIONS = 3
#: Fingerprints in one datagram, and how many of them the head of a report counts as.
_MOST_FINGERPRINTS = 100
_HEAD = 3


@dataclass(slots=True)
class _Suspect:
    #: Incarnations that crashed while it was in flight.
    crashes: set[int] = field(default_factory=set)
    last_crash: float = float("-inf")

    @property
    def quarantined_until(self) -> float:
        further = len(self.crashes) - _CRASHES_NEEDED
        if further < 0:
            return float("-inf")
        # Bounded before the power, which overflows for large exponents.
        duration = _DURATION * _DURATION_GROWTH ** min(further, 10)
        return self.last_crash + min(duration, _LONGEST_DURATION)


@dataclass(slots=True)
class _Crash:
    at: float
    fingerprints: set[int] = field(default_factory=set)
    #: Transmissions so far of what is still to be disseminated.
    pending: dict[int, int] = field(default_factory=dict)


class Quarantine:
    """Knows the requests under which upstreams crash.

    Explanation
    ===========

    A request that crashes each upstream that runs it ("query of death") takes down a
    whole service if every node treats each attempt as new.  Gates report the suspects
    of each crash, nodes disseminate the reports, and a request that was in flight at
    two crashes is refused everywhere.

    Reports are a grow-only set, so their order and repetition do not matter.

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
        #: Suspects of enough crashes, also when their time is over.
        self._repeated: set[int] = set()
        #: Last successes of suspects, and transmissions of those to disseminate.
        self._successes: dict[int, float] = {}
        self._pending_successes: dict[int, int] = {}
        self._active_until = float("-inf")
        self._next_report = 0
        self._version = 0

    def __len__(self) -> int:
        return len(self._suspects)

    @property
    def has_updates(self) -> bool:
        """Whether there may be anything to disseminate."""
        return bool(self._crashes or self._pending_successes)

    @property
    def version(self) -> int:
        """Grows whenever a request is quarantined, for longer, or no more."""
        return self._version

    @property
    def active(self) -> bool:
        """Whether any request is quarantined now."""
        return self._clock.now() < self._active_until

    @property
    def fingerprints(self) -> list[int]:
        """The requests that are quarantined now."""
        now = self._clock.now()
        return [f for f in self._repeated if now < self._suspects[f].quarantined_until]

    def contains(self, fingerprint: int) -> bool:
        """Return whether a request is quarantined now."""
        return self.seconds_left(fingerprint) > 0

    def seconds_left(self, fingerprint: int) -> float:
        """Return for how long a request is quarantined; 0 if it is not."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.quarantined_until - self._clock.now())

    def may_retry(self, fingerprint: int) -> bool:
        """Return whether a lost run may be retried at another upstream.

        A request that was quarantined before may crash one upstream at a time.
        """
        return fingerprint not in self._repeated

    def report(self, incarnation: int, fingerprints: Iterable[int]) -> None:
        """Record a crash of the upstream beside this node.

        Parameters
        ==========

        incarnation : int
            Hash of the incarnation, see :func:`incarnation_hash`.
        fingerprints : iterable of int
            The suspects.
        """
        self._add(incarnation, self._clock.now(), fingerprints)

    def on_success(self, fingerprint: int) -> None:
        """Record that the upstream beside this node ran a request with success."""
        if fingerprint in self._suspects:
            self._clear(fingerprint, self._clock.now())
            self._pending_successes[fingerprint] = 0

    def receive_successes(self, reports: Iterable[SuccessReport]) -> bool:
        """Merge successes seen by other nodes; return whether any of them is new."""
        now = self._clock.now()
        new = False
        for age, fingerprints in reports:
            for fingerprint in fingerprints:
                if self._clear(fingerprint, now - age / 1000):
                    self._pending_successes[fingerprint] = 0
                    new = True
        return new

    def receive(self, reports: Iterable[CrashReport]) -> bool:
        """Merge reports of another node; return whether any of them is new."""
        now = self._clock.now()
        added = [
            self._add(r.incarnation, now - r.age / 1000, r.fingerprints)
            for r in reports
        ]
        return any(added)

    def updates(self) -> list[CrashReport]:
        """Return a datagram of new reports to disseminate."""
        reports = []
        room = _MOST_FINGERPRINTS
        for incarnation, crash in self._crashes.items():
            chosen = list(crash.pending)[: max(0, room - _HEAD)]
            if not chosen:
                continue
            room -= _HEAD + len(chosen)
            for fingerprint in chosen:
                crash.pending[fingerprint] += 1
                if crash.pending[fingerprint] >= _TRANSMISSIONS:
                    del crash.pending[fingerprint]
            reports.append(self._report_of(incarnation, chosen))
        return reports

    def success_updates(self) -> list[SuccessReport]:
        """Return a datagram of successes to disseminate."""
        chosen = list(self._pending_successes)[: _MOST_FINGERPRINTS // _HEAD]
        for fingerprint in chosen:
            self._pending_successes[fingerprint] += 1
            if self._pending_successes[fingerprint] >= _TRANSMISSIONS:
                del self._pending_successes[fingerprint]
        now = self._clock.now()
        return [
            SuccessReport(int(1000 * (now - self._successes[f])), (f,))
            for f in chosen
            if f in self._successes
        ]

    def anti_entropy(self) -> list[CrashReport]:
        """Return a datagram of the reports on quarantined requests, old and new.

        Sent about once a second, so that a node that has started or was partitioned
        learns of them; if there are more, they take turns.
        """
        reports = list(self.quarantined_reports())
        room = _MOST_FINGERPRINTS
        chosen: list[CrashReport] = []
        for offset in range(len(reports)):
            report = reports[(self._next_report + offset) % len(reports)]
            cost = _HEAD + len(report.fingerprints)
            if cost > room and chosen:
                break
            room -= cost
            most = report.fingerprints[: _MOST_FINGERPRINTS - _HEAD]
            chosen.append(report._replace(fingerprints=most))
        self._next_report += len(chosen)
        return chosen

    def quarantined_reports(self) -> Iterator[CrashReport]:
        """Return all that is known of the requests that are quarantined now."""
        quarantined = set(self.fingerprints)
        for incarnation, crash in self._crashes.items():
            chosen = sorted(quarantined & crash.fingerprints)
            if chosen:
                yield self._report_of(incarnation, chosen)

    def _report_of(self, incarnation: int, fingerprints: list[int]) -> CrashReport:
        age = self._clock.now() - self._crashes[incarnation].at
        return CrashReport(incarnation, max(0, int(age * 1000)), tuple(fingerprints))

    def _add(self, incarnation: int, at: float, fingerprints: Iterable[int]) -> bool:
        now = self._clock.now()
        if now - at > _LONGEST_DURATION:
            return False
        crash = self._crashes.get(incarnation)
        at = crash.at if crash else at
        new = set(fingerprints) - (crash.fingerprints if crash else set())
        new = {f for f in new if at > self._cleared_until(f)}
        if not new:
            return False
        if crash is None:
            self._make_room(now)
            crash = self._crashes[incarnation] = _Crash(at)
        crash.fingerprints |= new
        for fingerprint in new:
            crash.pending[fingerprint] = 0
            self._suspect(fingerprint, incarnation, crash.at)
        return True

    def _cleared_until(self, fingerprint: int) -> float:
        return self._successes.get(fingerprint, float("-inf")) + _CLEARED_FOR

    def _clear(self, fingerprint: int, at: float) -> bool:
        """Take a success into account; return whether it is the last one known."""
        if at <= self._successes.get(fingerprint, float("-inf")):
            return False
        self._drop_old_successes()
        self._successes[fingerprint] = at
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return True
        quarantined = self.contains(fingerprint)
        for incarnation in list(suspect.crashes):
            if self._crashes[incarnation].at <= at + _CLEARED_FOR:
                self._forget(incarnation, fingerprint)
        if quarantined and not self.contains(fingerprint):
            self._version += 1
        return True

    def _drop_old_successes(self) -> None:
        if len(self._successes) >= _MOST_SUSPECTS:
            oldest = self._clock.now() - _SUCCESS_KEPT_FOR
            kept = {f: at for f, at in self._successes.items() if at > oldest}
            self._successes = kept if len(kept) < _MOST_SUSPECTS else {}

    def _suspect(self, fingerprint: int, incarnation: int, at: float) -> None:
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        suspect.crashes.add(incarnation)
        suspect.last_crash = max(suspect.last_crash, at)
        if len(suspect.crashes) >= _CRASHES_NEEDED:
            self._repeated.add(fingerprint)
        if suspect.quarantined_until > self._clock.now():
            self._version += 1
            self._active_until = max(self._active_until, suspect.quarantined_until)

    def _make_room(self, now: float) -> None:
        """Forget expired suspects, then those of one crash, then the oldest."""
        for incarnation, crash in list(self._crashes.items()):
            for fingerprint in list(crash.fingerprints):
                repeated = fingerprint in self._repeated
                kept_for = _LONGEST_DURATION if repeated else _SUSPECTED_FOR
                if now - self._suspects[fingerprint].last_crash > kept_for:
                    self._forget(incarnation, fingerprint)
        for only_single in (True, False):
            for incarnation, crash in list(self._crashes.items()):
                if self._has_room:
                    return
                for fingerprint in list(crash.fingerprints):
                    if fingerprint not in self._repeated or not only_single:
                        self._forget(incarnation, fingerprint)

    @property
    def _has_room(self) -> bool:
        few_suspects = len(self._suspects) < _MOST_SUSPECTS
        return few_suspects and len(self._crashes) < _MOST_CRASHES

    def _forget(self, incarnation: int, fingerprint: int) -> None:
        crash = self._crashes[incarnation]
        crash.fingerprints.discard(fingerprint)
        crash.pending.pop(fingerprint, None)
        if not crash.fingerprints:
            del self._crashes[incarnation]
        suspect = self._suspects[fingerprint]
        suspect.crashes.discard(incarnation)
        if len(suspect.crashes) < _CRASHES_NEEDED:
            self._repeated.discard(fingerprint)
        if not suspect.crashes:
            del self._suspects[fingerprint]
