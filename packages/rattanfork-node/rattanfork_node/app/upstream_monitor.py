"""Keeps the gate open for the upstream beside this node, and closed without it."""

from collections.abc import Callable, Coroutine

from rattanfork_core.announcements import Announcement, AnnouncementTracker
from rattanfork_core.clock import Clock
from rattanfork_core.membership import Membership

from rattanfork_node.app.prober import UpstreamProber
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.relay import Gate
from rattanfork_node.relay.upstream import Upstream
from rattanfork_node.telemetry import Counters, log_change

#: Slots assumed of an upstream whose announcement has not been heard yet.  Too
#: many wait inside the upstream for a heartbeat's time at most, or are refused
#: by it as not run; too few leave it idle just when all begin anew.
_UNKNOWN_SLOTS = 64
#: Seconds between two probes of an upstream that is not known.
_PROBE_PAUSE = 0.4


class UpstreamMonitor:
    """Attaches the upstream that announces itself, and lets go of one that leaves.

    Explanation
    ===========

    Announcements come once in a heartbeat interval.  A node that was restarted
    probes its upstream meanwhile, so that one at hand does not stand idle; an
    upstream that has said that it leaves is never attached by a probe.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    gate : Gate
        Opened and closed.
    membership : Membership
        Told whether this node's upstream takes work.
    configuration : ConfigurationHolder
        Says how many connections the upstream takes, and where to probe it.
    prober : Prober
        Asks the upstream who it is.
    service : str
        The upstream's service.
    address : pair
        Its host and port.
    counters : Counters
        What happened.
    spawn : callable
        Runs what must wait.
    """

    def __init__(
        self,
        clock: Clock,
        gate: Gate,
        membership: Membership,
        configuration: ConfigurationHolder,
        prober: UpstreamProber,
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
        self._service = service
        self._address = address
        self._counters = counters
        self._spawn = spawn
        self._book = AnnouncementTracker()
        self._closed = False
        self._probing = False
        self._next_probe = 0.0
        self._last_slots = 0

    def on_announcement(self, announcement: Announcement) -> bool:
        """Take in what the upstream says of itself.

        Returns
        =======

        bool
            False if it is not an upstream of this node's service; requests for
            the one would be run by the other.
        """
        if announcement.service != self._service:
            return False
        if not self._book.accept(announcement):
            self._counters.events["announcement.late"] += 1
        elif announcement.leaving:
            self._release("leaving", announcement.upstream)
        else:
            self._last_slots = announcement.slots
            self._attach(announcement.upstream, announcement.slots, announcement.born)
        return True

    def on_leave(self, upstream: str, born: int | None = None) -> None:
        """Take note that an upstream has left, which was born then if it says."""
        known = self._gate.upstream
        was_current = self._book.retire(upstream, born)
        attached = known is not None and known.name == upstream
        if was_current or (attached and self._book.is_retired(upstream)):
            self._release("left", upstream)

    def close(self) -> None:
        """Attach nothing any more: this node leaves."""
        self._closed = True

    def tick(self) -> None:
        """Probe the upstream if it is not known; call some times a second."""
        configuration = self._configuration.current
        needed = self._gate.misdirected or (
            self._gate.upstream is None and self._book.current is None
        )
        if not needed or configuration is None or self._probing or self._closed:
            return
        if self._clock.now() < self._next_probe:
            return
        service = configuration.services.get(self._service)
        if service is not None:
            self._probing = True
            self._spawn(self._probe(service.probe_path))

    async def _probe(self, path: str) -> None:
        name = await self._prober.ask(path)
        self._probing = False
        self._next_probe = self._clock.now() + _PROBE_PAUSE
        if name is None or self._book.is_retired(name):
            return
        current = self._book.current
        if current is not None and current.upstream == name:
            if current.leaving:
                return
        elif current is not None and not self._gate.misdirected:
            return
        self._attach(name, self._last_slots or _UNKNOWN_SLOTS)

    def _attach(self, name: str, slots: int, born: int = 0) -> None:
        if self._closed:
            return
        known = self._gate.upstream
        upstream = Upstream(name, *self._address, slots, born)
        replaced = known is not None and not upstream.is_same_incarnation(known)
        configuration = self._configuration.current
        connections = 2 * slots
        if configuration is not None and self._service in configuration.services:
            connections = configuration.services[self._service].connections
        self._gate.attach(upstream, connections)
        if known is None or replaced:
            log_change("upstream_attached", upstream=name, slots=slots, born=born)
        me = self._membership.me
        if replaced or not me.ready or me.slots != slots:
            self._membership.update_me(
                ready=True, slots=slots, succession=me.succession + replaced
            )

    def _release(self, why: str, upstream: str) -> None:
        if self._gate.accepting:
            self._gate.detach()
            self._membership.update_me(ready=False)
            log_change("upstream_released", why=why, upstream=upstream)
