"""Wires the parts of a node that relays by routes, and runs them."""

import asyncio
import os
import time
from collections.abc import Callable
from random import Random

from rattanfork_core.announcements import Announcement, AnnouncementBook
from rattanfork_core.clock import MonotonicClock
from rattanfork_core.membership import Member, Membership, MembershipSettings
from rattanfork_core.revision import RevisionState
from rattanfork_core.routes import Configuration
from rattanfork_platform import WatchedPlatform

from rattanfork_node.app.prober import Prober
from rattanfork_node.app.readiness import ReadinessHandler
from rattanfork_node.app.relay_settings import RelayNodeSettings
from rattanfork_node.config.configuration_task import ConfigurationTask
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.config.rules_watch import RulesWatch
from rattanfork_node.http1 import HttpServer, RequestLimits
from rattanfork_node.http1.server import RequestHandler
from rattanfork_node.member import MemberTask
from rattanfork_node.member.directory import Directory
from rattanfork_node.member.join import JoinTask
from rattanfork_node.peer import PeerLink, PeerPool
from rattanfork_node.relay import Gate, Relay, RelayPeerHandler
from rattanfork_node.relay.gate import Upstream
from rattanfork_node.telemetry import Counters, log_change

_TICK = 0.1
#: Ticks between two looks at idle connections.
_SWEEP_TICKS = 5
#: Ticks between two lines that sum up what was counted.
_SUMMARY_TICKS = 50
#: Seconds without any answer after which a connection to a node is lost.
_SILENCE = 0.8
#: Part of the grace for which runs are still taken after SIGTERM.  The upstream
#: goes on while its node is restarted; where instances are restarted in turn,
#: each that is away longer than the next one waits takes two away at once.
_TAKE_RUNS_SHARE = 0.27
#: Seconds after the others were told for which runs are still taken: until then
#: all have heard, and what they sent before need not be sent again.
_TELL_TIME = 0.4
#: Seconds after SIGTERM for which callers are served at least: readiness is
#: asked for each second, and two refusals take a node out.
_SERVE_FOR = 2.6
#: Part of the grace after which the process ends whatever is in flight.
_GRACE_SHARE = 0.85
#: Slots assumed of an upstream whose announcement has not been heard yet.  Too
#: many wait inside the upstream for a heartbeat's time at most, or are refused
#: by it as not run; too few leave it idle just when all begin anew.
_UNKNOWN_SLOTS = 64
#: Seconds between two probes of an upstream that is not known.
_PROBE_PAUSE = 0.4
#: Most bytes of a body between nodes.
_BODY_LIMIT = 64 << 20
#: Requests at an instance of the own data centre, for each of its slots, up to
#: which it is taken without looking further: below it nothing waits there, and
#: the slots left are for what comes before the next reply tells.
_LOCAL_LOAD = 0.6
#: Data centres whose word on the rules replaces the store's: one alone may have
#: been cut off when the last change was accepted.
_WORDS_NEEDED = 2
#: News is pushed to this many members at once.  In a small fleet that is
#: most of them, so a change is known within a tenth of a second.
_PUSHES = 8


class RelayNode:
    """A node that relays by routes: its composition root.

    Parameters
    ==========

    settings : RelayNodeSettings
        Checked settings.
    platform : WatchedPlatform
        The store.
    decode : callable
        Reads a configuration; raises ValueError if it is none.
    announcement_handler : callable
        Makes the handler of the address for announcements from this node.
    """

    def __init__(
        self,
        settings: RelayNodeSettings,
        platform: WatchedPlatform,
        decode: Callable[[bytes], Configuration],
        announcement_handler: Callable[["RelayNode"], RequestHandler],
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._clock = MonotonicClock()
        self._random = Random(int.from_bytes(os.urandom(16), "big"))
        self._counters = Counters()
        self._book = AnnouncementBook()
        self._draining = asyncio.Event()
        self._probing = False
        self._next_probe = 0.0
        self._last_slots = 0
        self._make_parts(decode)
        self._make_tasks()
        self._make_servers(announcement_handler(self))

    async def run(self) -> int:
        """Run until drained; return the exit status."""
        await self._start()
        log_change("started", instance=self._settings.instance, boot=self._boot)
        ticker = asyncio.ensure_future(self._tick_forever())
        await self._draining.wait()
        status = await self._drain()
        ticker.cancel()
        self._stop()
        log_change("stopped", status=status)
        return status

    def drain(self) -> None:
        """Begin to drain."""
        self._draining.set()

    @property
    def ready(self) -> bool:
        """Whether new work of callers is taken."""
        known = self._join.joined or len(self._membership.present()) > 1
        held = self._configuration.current is not None and self._rules.ready
        return known and held and not self._draining.is_set()

    def on_announcement(self, announcement: Announcement) -> None:
        """Take in what the upstream says of itself."""
        if not self._book.hear(announcement):
            self._counters.events["announcement.late"] += 1
            return
        if announcement.leaving:
            self._release_upstream("leaving", announcement.upstream)
            return
        self._last_slots = announcement.slots
        self._attach(announcement.upstream, announcement.slots)

    def on_leave(self, upstream: str) -> None:
        """Take note that an upstream has left."""
        known = self._gate.upstream
        was_current = self._book.leave(upstream)
        if was_current or (known is not None and known.name == upstream):
            self._release_upstream("left", upstream)

    def _make_parts(self, decode: Callable[[bytes], Configuration]) -> None:
        settings = self._settings
        # Sorts by time, so that of two incarnations the later one is told.
        self._boot = f"{time.time_ns() // 1_000_000:012x}{os.urandom(3).hex()}"
        host, port = settings.peers
        me = Member(
            settings.instance,
            self._boot,
            settings.relay.service,
            settings.relay.data_centre,
            host,
            port,
            port,
            0,
            ready=False,
        )
        self._configuration = ConfigurationHolder(decode)
        self._rules = RevisionState(min(_WORDS_NEEDED, settings.data_centres))
        self._configuration.on_change = self._on_configuration
        self._membership = Membership(
            self._clock,
            self._random,
            me,
            MembershipSettings(pushes=_PUSHES, push_interval=_TICK),
        )
        self._membership.revision = lambda: self._configuration.version
        self._gate = Gate(self._clock, self._boot, settings.names, self._counters)
        self._handler = RelayPeerHandler(
            self._clock,
            self._gate,
            self._configuration,
            self._rules,
            self._counters,
        )
        self._pool = PeerPool(
            lambda: self._make_link(connecting=True), self._clock, _SILENCE
        )

    def _make_tasks(self) -> None:
        settings = self._settings
        self._member = MemberTask(
            self._clock,
            self._random,
            self._membership,
            self._pool,
            settings.fleet_key,
            [],
            self._counters,
        )
        self._handler.connect(self._member)
        self._join = JoinTask(
            self._random, self._platform, self._membership, self._member
        )
        self._config_task = ConfigurationTask(
            self._clock,
            self._random,
            self._configuration,
            self._platform,
            settings.configuration_table,
            settings.configuration_key,
            self._membership,
            self._member,
            self._pool,
            self._counters,
        )
        self._rules_watch = RulesWatch(
            self._random,
            self._rules,
            self._platform,
            self._membership,
            self._pool,
            self._counters,
        )
        self._prober = Prober(self._clock, *settings.upstream, settings.names)

    def _make_servers(self, announcement_handler: RequestHandler) -> None:
        settings = self._settings
        self._relay = Relay(
            self._clock,
            self._random,
            settings.relay,
            settings.names,
            self._configuration,
            self._rules,
            Directory(self._clock, self._random, self._membership, _LOCAL_LOAD),
            self._membership,
            self._pool,
            self._gate,
            self._counters,
        )
        handlers = (
            (settings.callers, self._relay),
            (settings.readiness, ReadinessHandler(lambda: self.ready)),
            (settings.announcements, announcement_handler),
        )
        self._servers = [
            (address, HttpServer(self._clock, settings.names, RequestLimits(), handler))
            for address, handler in handlers
        ]
        self._callers = self._servers[0][1]

    def _make_link(self, connecting: bool) -> PeerLink:
        return PeerLink(
            self._clock,
            self._settings.fleet_key,
            self._membership.me.name,
            self._settings.relay.data_centre,
            self._handler,
            _BODY_LIMIT,
            connecting,
        )

    async def _start(self) -> None:
        host, port = self._settings.peers
        loop = asyncio.get_running_loop()
        self._peer_listener = await loop.create_server(
            lambda: self._make_link(connecting=False), host, port
        )
        await self._member.start(host, port)
        for (server_host, server_port), server in self._servers:
            await server.start(server_host, server_port)
        self._join.start()
        self._config_task.start()
        self._rules_watch.start()

    async def _tick_forever(self) -> None:
        ticks = 0
        while True:
            ticks += 1
            self._gate.tick()
            self._member.tick()
            self._pool.heartbeat()
            self._probe_if_needed()
            if ticks % _SWEEP_TICKS == 0:
                self._sweep()
            if ticks % _SUMMARY_TICKS == 0:
                self._log_summary()
            await asyncio.sleep(_TICK)

    def _sweep(self) -> None:
        self._gate.sweep()
        for _, server in self._servers:
            server.sweep()
        self._relay.budgets.share_among(len(self._membership.present()))

    def _log_summary(self) -> None:
        """Write what was counted since the start; its size is bounded."""
        snapshot = self._counters.snapshot()
        log_change(
            "counted",
            requests=snapshot["requests"],
            events=snapshot["events"],
            running=self._gate.busy - self._gate.waiting,
            waiting=self._gate.waiting,
            cut=round(self._gate.own_cut, 3),
            members=len(self._membership.present()),
        )

    def _on_configuration(self, configuration: Configuration) -> None:
        self._callers.limits = RequestLimits(
            configuration.head_bytes,
            configuration.body_bytes,
            configuration.head_timeout,
            configuration.idle_timeout,
        )

    def _attach(self, name: str, slots: int) -> None:
        if self._draining.is_set():
            return
        known = self._gate.upstream
        host, port = self._settings.upstream
        service = self._settings.relay.service
        configuration = self._configuration.current
        connections = 2 * slots
        if configuration is not None and service in configuration.services:
            connections = configuration.services[service].connections
        self._gate.attach(Upstream(name, host, port, slots), connections)
        if known is None or known.name != name:
            log_change("upstream_attached", upstream=name, slots=slots)
        me = self._membership.me
        if not me.ready or me.slots != slots:
            self._membership.update_me(ready=True, slots=slots)

    def _release_upstream(self, why: str, upstream: str) -> None:
        if self._gate.accepting:
            self._gate.detach()
            self._membership.update_me(ready=False)
            log_change("upstream_released", why=why, upstream=upstream)

    def _probe_if_needed(self) -> None:
        configuration = self._configuration.current
        needed = self._gate.misdirected or (
            self._gate.upstream is None and self._book.current is None
        )
        if not needed or configuration is None or self._probing:
            return
        if self._clock.now() < self._next_probe or self._draining.is_set():
            return
        service = configuration.services.get(self._settings.relay.service)
        if service is not None:
            self._probing = True
            self._relay.spawn(self._probe(service.probe_path))

    async def _probe(self, path: str) -> None:
        name = await self._prober.ask(path)
        self._probing = False
        self._next_probe = self._clock.now() + _PROBE_PAUSE
        if name is None or self._book.has_left(name):
            return
        current = self._book.current
        if current is not None and current.upstream == name:
            if current.leaving:
                return
        elif current is not None and not self._gate.misdirected:
            return
        self._attach(name, self._last_slots or _UNKNOWN_SLOTS)

    async def _drain(self) -> int:
        began = self._clock.now()
        log_change("draining", runs=self._gate.busy, requests=self._callers.in_flight)
        self._callers.leave()
        end = began + _GRACE_SHARE * self._settings.grace
        self._relay.leave(end)
        removal = asyncio.ensure_future(self._join.leave())
        tell_at = began + _TAKE_RUNS_SHARE * self._settings.grace
        told = False
        while (now := self._clock.now()) < end:
            if now >= tell_at and not told:
                told = True
                self._member.leave()
            if now >= tell_at + _TELL_TIME and self._gate.accepting:
                self._gate.detach()
            busy = self._callers.in_flight or self._gate.busy
            if now - began > _SERVE_FOR and not busy:
                break
            await asyncio.sleep(_TICK / 2)
        removal.cancel()
        left = self._callers.in_flight + self._gate.busy
        if left:
            log_change("cut_off", runs=self._gate.busy, requests=left)
        return 1 if left else 0

    def _stop(self) -> None:
        self._config_task.close()
        self._rules_watch.close()
        self._join.close()
        self._member.close()
        for _, server in self._servers:
            server.stop()
        self._relay.close()
        self._peer_listener.close()
        self._pool.close()
        for link in list(self._handler.links):
            link.close("this node stops")
        self._gate.close()
        self._prober.close()
