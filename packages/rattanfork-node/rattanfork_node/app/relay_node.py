"""Wires the parts of a node that relays by routes, and runs them."""

import asyncio
import os
import time
from collections.abc import Callable
from random import Random

from rattanfork_core.budgets import GateRetryBudget
from rattanfork_core.clock import BootTimeClock, MonotonicClock
from rattanfork_core.gate_status import GateReportTable
from rattanfork_core.membership import (
    Member,
    Membership,
    MembershipSettings,
    MemberStatus,
)
from rattanfork_core.objectives import RouteObjectives
from rattanfork_core.quarantine import Quarantine
from rattanfork_core.revision import ConfigurationLease, RevisionState
from rattanfork_core.routes import Configuration
from rattanfork_core.trace import LogSampler
from rattanfork_platform import WatchedPlatform

from rattanfork_node.app.account_parts import AccountParts
from rattanfork_node.app.metrics_handler import MetricsHandler
from rattanfork_node.app.observer import Observer
from rattanfork_node.app.prober import Prober
from rattanfork_node.app.readiness import ReadinessHandler
from rattanfork_node.app.relay_settings import RelayNodeSettings
from rattanfork_node.app.shutdown import Shutdown
from rattanfork_node.app.store_tasks import StoreTasks
from rattanfork_node.app.upstream_keeper import UpstreamKeeper
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.http1 import HttpServer, RequestLimits
from rattanfork_node.http1.handler import RequestHandler
from rattanfork_node.member import GossipTask
from rattanfork_node.member.directory import InstanceDirectory
from rattanfork_node.member.gate_report_task import GateReportTask
from rattanfork_node.member.quarantine_task import QuarantineTask
from rattanfork_node.peer import PeerLink, PeerPool
from rattanfork_node.relay import (
    DecisionLog,
    DrainPolicy,
    Gate,
    Relay,
    RelayPeerHandler,
)
from rattanfork_node.telemetry import (
    Counters,
    LineWriter,
    RequestLog,
    log_change,
)

_TICK = 0.1
#: Ticks between two looks at idle connections.
_SWEEP_TICKS = 5
#: Ticks between two lines that sum up what was counted.
_SUMMARY_TICKS = 50
#: Seconds without any answer after which a connection to a node is lost.
_SILENCE = 0.8
#: Most bytes of a body between nodes.
_BODY_LIMIT = 64 << 20
#: Requests at an instance of the own data centre, for each of its slots, up to
#: which it is taken without looking further: below it nothing waits there, and
#: the slots left are for what comes before the next reply tells.
_LOCAL_LOAD = 0.85
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
    writer : LineWriter
        Where lines about requests go.
    """

    def __init__(
        self,
        settings: RelayNodeSettings,
        platform: WatchedPlatform,
        decode: Callable[[bytes], Configuration],
        announcement_handler: Callable[["RelayNode"], RequestHandler],
        writer: LineWriter,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._clock = MonotonicClock()
        self._random = Random(int.from_bytes(os.urandom(16), "big"))
        self._counters = Counters()
        self._counters.store = platform.call_counts
        self._draining = asyncio.Event()
        self._log = RequestLog(
            writer, LogSampler(self._clock), settings.instance, time.time
        )
        self._make_parts(decode)
        self._make_tasks()
        self._make_servers(announcement_handler)

    async def run(self) -> int:
        """Run until drained; return the exit status."""
        await self._start()
        log_change("started", boot=self._boot)
        ticker = asyncio.ensure_future(self._tick_forever())
        await self._draining.wait()
        status = await self._drain()
        ticker.cancel()
        self._stop()
        self._observer.log_summary()
        log_change("stopped", status=status)
        return status

    def drain(self) -> None:
        """Begin to drain."""
        self._draining.set()

    @property
    def ready(self) -> bool:
        """Whether new work of callers is taken."""
        known = self._store.joined or len(self._membership.present()) > 1
        held = self._configuration.current is not None and self._rules.ready
        return known and held and not self._draining.is_set()

    @property
    def upstream(self) -> UpstreamKeeper:
        """Takes what the upstream says of itself."""
        return self._keeper

    def reload(self) -> None:
        """Take note that the settings may have changed.

        Addresses and bounds hold for the life of a process: callers and peers
        were told of them.  What changed comes into force with the next start.
        """
        log_change("reload", outcome="settings hold until the next start")

    def note_malformed(self, what: str, **fields: object) -> None:
        """Count what another writer has sent, and tell of it within the budget."""
        self._counters.events[f"{what}.malformed"] += 1
        if self._log.wants(b"", plain=False):
            self._log.write(f"{what}_malformed", b"", fields)

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
            MembershipSettings(push_fanout=_PUSHES, push_interval=_TICK),
        )
        self._reports = GateReportTable(self._clock, me.name)
        self._quarantine = Quarantine(self._clock)
        self._membership.on_status = self._on_member
        self._lease = ConfigurationLease(BootTimeClock())
        self._objectives = RouteObjectives(self._clock)
        self._journal = DecisionLog(
            self._clock,
            self._log,
            self._counters,
            self._configuration,
            self._rules,
            self._objectives,
        )
        relay = settings.relay
        self._gate = Gate(
            self._clock,
            self._boot,
            settings.names,
            self._counters,
            self._journal,
            GateRetryBudget(
                self._clock,
                relay.retry_budget_ratio,
                relay.retry_budget_extra,
                relay.retry_budget_window,
            ),
            self._quarantine,
        )
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
        self._member = GossipTask(
            self._clock,
            self._random,
            self._membership,
            self._pool,
            settings.fleet_key,
            [],
            self._counters,
        )
        self._handler.set_gossip_task(self._member)
        self._gate_news = GateReportTask(
            self._reports, self._membership, self._member, self._gate
        )
        self._quarantine_task = QuarantineTask(
            self._quarantine,
            self._membership,
            self._member,
            self._platform,
            self._random,
            self._gate.has_succeeded,
            time.time,
        )
        self._gate.crash_detector.on_crash = self._quarantine_task.on_crash
        self._store = StoreTasks(
            self._clock,
            self._random,
            self._platform,
            (settings.configuration_table, settings.configuration_key),
            self._configuration,
            self._rules,
            self._membership,
            self._member,
            self._pool,
            self._counters,
            self._quarantine_task.merge_record,
            self._quarantine_task.persist_all,
            self._lease,
        )
        self._account_parts = AccountParts(
            self._random,
            settings.relay,
            self._configuration,
            self._lease,
            self._membership,
            self._member,
            self._store,
            self._counters,
        )
        self._prober = Prober(self._clock, *settings.upstream, settings.names)

    def _make_servers(
        self, announcement_handler: Callable[["RelayNode"], RequestHandler]
    ) -> None:
        settings = self._settings
        self._directory = InstanceDirectory(
            self._clock, self._random, self._membership, _LOCAL_LOAD
        )
        self._relay = Relay(
            self._clock,
            self._random,
            settings.relay,
            settings.names,
            self._configuration,
            self._rules,
            self._directory,
            self._membership,
            self._pool,
            self._gate,
            self._counters,
            self._journal,
            self._reports,
            self._quarantine,
            self._account_parts.accounts,
        )
        self._observer = Observer(
            self._clock,
            self._log,
            self._counters,
            self._membership,
            self._gate,
            self._quarantine,
            self._configuration,
            self._rules,
            self._platform,
            lambda: self._store.confirmed_age,
            lambda: self.ready,
        )
        self._keeper = UpstreamKeeper(
            self._clock,
            self._gate,
            self._membership,
            self._configuration,
            self._prober,
            settings.relay.service,
            settings.upstream,
            self._counters,
            self._relay.spawn,
        )
        handlers = (
            (settings.callers, self._relay),
            (settings.readiness, ReadinessHandler(lambda: self.ready)),
            (settings.announcements, announcement_handler(self)),
        )
        self._servers = [
            (address, HttpServer(self._clock, settings.names, RequestLimits(), handler))
            for address, handler in handlers
        ]
        self._callers = self._servers[0][1]
        self._metrics = HttpServer(
            self._clock,
            settings.names,
            RequestLimits(),
            MetricsHandler(self._counters, self._observer.gauges, self._objectives),
        )

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
        await self._start_metrics()
        self._store.start()

    async def _start_metrics(self) -> None:
        if self._settings.metrics is None:
            return
        try:
            await self._metrics.start(*self._settings.metrics)
        except OSError as error:
            # Somebody else has the port; a node that can't be watched there
            # still has its logs, and one that does not start serves nobody.
            log_change("metrics_not_served", error=str(error))

    async def _tick_forever(self) -> None:
        ticks = 0
        while True:
            ticks += 1
            self._gate.tick()
            self._member.tick()
            self._gate_news.tick()
            self._quarantine_task.tick()
            self._account_parts.tick()
            self._pool.heartbeat()
            self._keeper.tick()
            self._log.flush()
            if ticks % _SWEEP_TICKS == 0:
                self._sweep()
            if ticks % _SUMMARY_TICKS == 0:
                self._observer.log_summary()
            await asyncio.sleep(_TICK)

    def _sweep(self) -> None:
        self._objectives.flush()
        self._gate.sweep()
        for _, server in self._servers:
            server.sweep()
        self._metrics.sweep()
        gates = self._directory.instance_count(self._settings.relay.service)
        self._gate.grants.set_gate_count(gates)

    def _on_member(self, member: Member, before: MemberStatus | None) -> None:
        self._observer.on_member(member, before)
        self._account_parts.on_member(member, before)

    def _on_configuration(self, configuration: Configuration) -> None:
        self._observer.on_configuration()
        self._callers.limits = RequestLimits(
            configuration.max_head_bytes,
            configuration.max_body_bytes,
            configuration.head_timeout,
            configuration.idle_timeout,
        )
        self._account_parts.on_configuration()

    async def _drain(self) -> int:
        shutdown = Shutdown(
            self._clock, self._settings.grace, self._member, self._gate, self._callers
        )
        self._keeper.close()
        ends_at = shutdown.begin()
        self._relay.drain(DrainPolicy(self._clock, ends_at, shutdown.serves_until))
        removal = asyncio.ensure_future(self._store.leave())
        status = await shutdown.finish()
        removal.cancel()
        return status

    def _stop(self) -> None:
        self._quarantine_task.close()
        self._store.close()
        self._member.close()
        for _, server in self._servers:
            server.stop()
        self._metrics.stop()
        self._relay.close()
        self._peer_listener.close()
        self._pool.close()
        for link in list(self._handler.links):
            link.close("this node stops")
        self._gate.close()
        self._prober.close()
