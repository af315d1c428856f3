"""Attaches the upstream of a node to its gate, and detaches it when it leaves."""

from collections.abc import Callable, Coroutine

from rattanfork_core.announcements import Announcement, AnnouncementTracker
from rattanfork_core.clock import Clock
from rattanfork_core.membership import Membership

from rattanfork_node.app.prober import UpstreamProber
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.member.retirement_task import RetirementTask
from rattanfork_node.relay import Gate
from rattanfork_node.relay.upstream import Upstream
from rattanfork_node.telemetry import Counters, log_change

#: Slots assumed for an upstream that has not announced itself yet.  If that is too
#: many, requests wait inside the upstream for one heartbeat interval at most, or it
#: rejects them as not run.  Too few would leave it idle when all nodes restart.
_DEFAULT_SLOTS = 64
#: Seconds between two probes of an upstream that is not identified yet.
_PROBE_INTERVAL_S = 0.4
#: Seconds for which an acknowledgement of leaving waits for the store.  Upstreams
#: ignore acknowledgements that take a second.
_ACKNOWLEDGE_WITHIN_S = 0.8
#: Seconds between two log lines on ignored announcements.
_IGNORED_LOG_INTERVAL_S = 1.0


class UpstreamMonitor:
    """Attaches the upstream that announces itself and detaches one that leaves.

    Explanation
    ===========

    Announcements arrive once per heartbeat interval.  Until the first one, a restarted
    node probes its upstream, so that a healthy one is used at once.  A probe never
    attaches an upstream that has announced its leaving, since the probe may have been
    answered before that announcement.

    An upstream may also state in its responses that it leaves.  However it states
    that, it is detached at once and for good.  An announcement of it is acknowledged
    once the store holds it, and a process that has just started attaches no upstream
    before it knows which of them its predecessors have retired.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    gate : Gate
        Gate to which the upstream is attached.
    membership : Membership
        Membership, in which this node's upstream is announced as ready or not.
    configuration : ConfigurationHolder
        Configuration with the upstream's connection limit and probe path.
    prober : UpstreamProber
        Probes the upstream for its ID.
    retirements : RetirementTask
        Keeps the incarnations that have stated that they leave.
    service : str
        Service of the upstream.
    address : pair
        Host and port of the upstream.
    counters : Counters
        Event counters.
    spawn : callable
        Starts a coroutine in the background.
    """

    def __init__(
        self,
        clock: Clock,
        gate: Gate,
        membership: Membership,
        configuration: ConfigurationHolder,
        prober: UpstreamProber,
        retirements: RetirementTask,
        service: str,
        address: tuple[str, int],
        counters: Counters,
        spawn: Callable[[Coroutine], None],
    ) -> None:
        self._clock = clock
        self._gate = gate
        self._membership = membership
        self._configuration = configuration
        self._prober = prober
        self._retirements = retirements
        self._service = service
        self._address = address
        self._counters = counters
        self._spawn = spawn
        self._tracker = AnnouncementTracker(clock)
        self._started_at = clock.now()
        self._next_ignored_line = clock.now()
        self._closed = False
        self._probing = False
        self._next_probe = 0.0
        self._last_slots = 0
        gate.advertised.on_leaving = self._on_leaving_stated
        retirements.on_learned = self._on_retirements_learned

    def on_announcement(self, announcement: Announcement) -> bool:
        """Handle an announcement of the upstream.

        Returns
        =======

        bool
            False if the upstream belongs to another service than this node; it
            would execute requests for the wrong service.
        """
        if announcement.service != self._service:
            return False
        upstream = announcement.upstream
        has_retired = self._restore_retired(upstream)
        if not self._tracker.accept(announcement):
            self._counters.events["announcement.late"] += 1
            if not announcement.leaving:
                self._log_ignored(announcement)
            if self._is_attached(upstream) and self._tracker.is_retired(upstream):
                self._detach("leaving", upstream)
        elif announcement.leaving:
            self._detach("leaving", upstream)
        else:
            self._attach_announced(announcement)
        if announcement.leaving or has_retired:
            # A late announcement may state a start that was unknown.
            self._retire(upstream)
        return True

    def on_leave(self, upstream: str, born: int | None = None) -> None:
        """Detach an upstream that has left; ``born`` is its start time if known."""
        was_current = self._tracker.retire(upstream, born)
        if was_current or (
            self._is_attached(upstream) and self._tracker.is_retired(upstream)
        ):
            self._detach("left", upstream)
        self._retire(upstream)

    def acknowledge_leaving(self, upstream: str, done: Callable[[bool], None]) -> None:
        """Call ``done`` with whether the store holds that an upstream leaves.

        It is called at once if that is known, and within a second in any case.
        """
        born = self._tracker.retired_start(upstream)
        if self._retirements.is_stored(upstream, born):
            done(True)
        else:
            self._spawn(self._acknowledge(upstream, born, done))

    def close(self) -> None:
        """Attach no upstream from now on, since this node leaves."""
        self._closed = True

    def tick(self) -> None:
        """Probe the upstream if it is not identified; call several times a second."""
        configuration = self._configuration.current
        probe_needed = self._gate.misdirected or (
            self._gate.upstream is None and self._tracker.current is None
        )
        if not probe_needed or configuration is None or self._probing or self._closed:
            return
        if not self._retirements.known:
            return
        if self._clock.now() < self._next_probe:
            return
        service = configuration.services.get(self._service)
        if service is not None:
            self._probing = True
            self._spawn(self._probe(service.probe_path))

    async def _probe(self, path: str) -> None:
        sent_at = self._clock.now()
        name = await self._prober.ask(path)
        self._probing = False
        self._next_probe = self._clock.now() + _PROBE_INTERVAL_S
        if name is None:
            return
        if self._gate.misdirected and self._tracker.reinstate(name):
            self._attach_announced(self._tracker.current)
            return
        self._restore_retired(name)
        if self._tracker.is_retired(name):
            return
        current = self._tracker.current
        other_announced = current is not None and current.upstream != name
        if other_announced and not self._gate.misdirected:
            return
        self._attach(
            name,
            self._last_slots or _DEFAULT_SLOTS,
            source="probe",
            probe_ms=round((self._clock.now() - sent_at) * 1000, 1),
        )

    def _on_leaving_stated(self, upstream: Upstream) -> None:
        self._tracker.retire(upstream.name, upstream.born)
        self._retire(upstream.name)
        self._gate.detach()
        self._membership.update_me(ready=False)

    def _retire(self, upstream: str) -> None:
        self._retirements.retire(upstream, self._tracker.retired_start(upstream))

    async def _acknowledge(
        self, upstream: str, born: int, done: Callable[[bool], None]
    ) -> None:
        began_at = self._clock.now()
        stored = await self._retirements.wait_stored(
            upstream, born, _ACKNOWLEDGE_WITHIN_S
        )
        log_change(
            "leaving_acknowledged" if stored else "leaving_not_acknowledged",
            upstream=upstream,
            born=born,
            waited_ms=round((self._clock.now() - began_at) * 1000, 1),
        )
        done(stored)

    def _on_retirements_learned(self) -> None:
        for retired in self._retirements.own:
            self._tracker.restore(retired.upstream, retired.born)
        attached = self._gate.upstream
        if attached is not None and self._tracker.is_retired(attached.name):
            self._detach("retired", attached.name)
        announced = self._tracker.current
        if announced is not None and not announced.leaving:
            self._attach_announced(announced)

    def _restore_retired(self, upstream: str) -> bool:
        """Return whether an ID has left here; the tracker keeps the last ones only."""
        start = self._retirements.retired_start(upstream)
        if start is not None and not self._tracker.is_retired(upstream):
            self._tracker.restore(upstream, start)
        return start is not None

    def _attach_announced(self, announcement: Announcement) -> None:
        """Attach an announced upstream, once all retirements are known."""
        if not self._retirements.known:
            return
        self._last_slots = announcement.slots
        self._attach(
            announcement.upstream,
            announcement.slots,
            announcement.born,
            source="announcement",
            sequence=announcement.sequence,
        )

    def _is_attached(self, name: str) -> bool:
        upstream = self._gate.upstream
        return upstream is not None and upstream.name == name

    def _attach(self, name: str, slots: int, born: int = 0, **evidence: object) -> None:
        """Attach an upstream; ``evidence`` is logged: what showed that it is ready."""
        if self._closed:
            return
        attached_upstream = self._gate.upstream
        upstream = Upstream(name, *self._address, slots, born)
        replaced = attached_upstream is not None and not upstream.is_same_incarnation(
            attached_upstream
        )
        configuration = self._configuration.current
        connections = 2 * slots
        if configuration is not None and self._service in configuration.services:
            connections = configuration.services[self._service].connections
        self._gate.attach(upstream, connections)
        if attached_upstream is None or replaced:
            log_change(
                "upstream_attached",
                upstream=name,
                slots=slots,
                born=born,
                node_age_s=round(self._clock.now() - self._started_at, 2),
                **evidence,
            )
        me = self._membership.me
        if replaced or not me.ready or me.slots != slots:
            self._membership.update_me(
                ready=True, slots=slots, succession=me.succession + replaced
            )

    def _detach(self, why: str, upstream: str) -> None:
        if self._gate.accepting:
            self._gate.detach()
            self._membership.update_me(ready=False)
            log_change("upstream_released", why=why, upstream=upstream)

    def _log_ignored(self, announcement: Announcement) -> None:
        now = self._clock.now()
        if now < self._next_ignored_line:
            return
        self._next_ignored_line = now + _IGNORED_LOG_INTERVAL_S
        log_change(
            "announcement_ignored",
            upstream=announcement.upstream,
            sequence=announcement.sequence,
            born=announcement.born,
            retired=self._tracker.is_retired(announcement.upstream),
        )
