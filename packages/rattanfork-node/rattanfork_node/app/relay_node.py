"""Composition root of a node that forwards requests by configured routes."""

import asyncio
import os
import sys
import time
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random

from rattanfork_core.budgets import GateRetryBudget
from rattanfork_core.clock import BootTimeClock, MonotonicClock
from rattanfork_core.gate_status import GateReportTable, OperationDependencies
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

from rattanfork_node.app.account_tasks import ClientAccountTasks
from rattanfork_node.app.budgets import NodeBudgets
from rattanfork_node.app.connection_end_log import ConnectionEndLog
from rattanfork_node.app.memory_gauges import memory_gauges
from rattanfork_node.app.metrics_handler import MetricsHandler
from rattanfork_node.app.periodic_steps import PeriodicSteps
from rattanfork_node.app.prober import UpstreamProber
from rattanfork_node.app.readiness import ReadinessHandler
from rattanfork_node.app.relay_settings import RelayNodeSettings
from rattanfork_node.app.shutdown import Shutdown
from rattanfork_node.app.state_reporter import StateReporter
from rattanfork_node.app.store_tasks import StoreTasks
from rattanfork_node.app.upstream_monitor import UpstreamMonitor
from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.http1 import HttpServer, RequestLimits, UploadResources
from rattanfork_node.http1.handler import RequestHandler
from rattanfork_node.http1.input_pacer import InputPacer
from rattanfork_node.member import GossipTask
from rattanfork_node.member.dependency_task import DependencyTask
from rattanfork_node.member.directory import InstanceDirectory
from rattanfork_node.member.gate_report_task import GateReportTask
from rattanfork_node.member.quarantine_task import QuarantineTask
from rattanfork_node.member.retirement_task import RetirementTask
from rattanfork_node.peer import PeerLink, PeerPool, PendingHandshakes
from rattanfork_node.relay import (
    DecisionLog,
    Gate,
    Relay,
    RelayPeerHandler,
)
from rattanfork_node.telemetry import (
    Counters,
    LineWriter,
    RequestLog,
    UnexpectedErrors,
    log_change,
)
from rattanfork_node.ticks import TICK_SECONDS, sleep_ticks

_PYTHON_VERSION = sys.version.split()[0]
#: Ticks between two sweeps of idle connections.
_SWEEP_TICKS = 5
#: Ticks between two summary lines in the log.
_SUMMARY_TICKS = 50
#: Seconds without any message after which a connection to a node is considered lost.
_SILENCE_TIMEOUT_S = 0.8
#: Maximum size of a body between nodes, in bytes.
_MAX_BODY_BYTES = 64 << 20
#: Maximum size of a body, and number of connections, at each of the ports of the
#: platform, the upstream and operators.
_MAX_OWN_BODY_BYTES = 16 << 10
_MAX_OWN_CONNECTIONS = 32
#: Requests per slot up to which an instance of the own data centre is chosen without
#: considering other data centres.  Below it no request waits there; the remaining
#: slots absorb requests that arrive before the next reply reports the load.
_LOCAL_LOAD_LIMIT = 0.85
#: Data centres whose nodes must agree on the rules while the store is unavailable.  A
#: single one may have been partitioned when the last change was accepted.
_RULES_QUORUM = 2
#: Members to which an update is pushed at once.  In a small fleet that is most of them,
#: so that a change spreads within 0.1 s.
_PUSH_FANOUT = 8


class RelayNode:
    """A node that forwards requests by configured routes.

    Parameters
    ==========

    settings : RelayNodeSettings
        Validated settings.
    platform : WatchedPlatform
        The store.
    decode : callable
        Decodes a configuration; raises ValueError if it is malformed.
    announcement_handler : callable
        Creates the handler for the upstream's announcements.
    writer : LineWriter
        Output for log lines about requests.
    code : str
        Digest of the installed code, for the log.
    pacer : InputPacer, optional
        Grants turns to connections with fragmented input; the store's uses it, too.
    """

    def __init__(
        self,
        settings: RelayNodeSettings,
        platform: WatchedPlatform,
        decode: Callable[[bytes], Configuration],
        announcement_handler: Callable[["RelayNode"], RequestHandler],
        writer: LineWriter,
        code: str = "",
        pacer: InputPacer | None = None,
    ) -> None:
        self._settings = settings
        self._code = code
        self._platform = platform
        self._clock = MonotonicClock()
        self._random = Random(int.from_bytes(os.urandom(16), "big"))
        self._counters = Counters()
        self._counters.store = platform.call_counts
        self._draining = asyncio.Event()
        self._log = RequestLog(
            writer, LogSampler(self._clock), settings.instance, time.time
        )
        self._budgets = NodeBudgets(
            self._clock, settings.memory_bytes, settings.max_descriptors
        )
        self._handshakes = PendingHandshakes(self._clock)
        self._input_pacer = InputPacer() if pacer is None else pacer
        self._create_components(decode)
        self._create_tasks()
        self._create_servers(announcement_handler)

    async def run(self) -> int:
        """Run until drained; return the exit status."""
        await self._start()
        log_change("started", boot=self._boot, code=self._code, python=_PYTHON_VERSION)
        ticker = asyncio.ensure_future(self._tick_forever())
        await self._draining.wait()
        status = await self._drain()
        ticker.cancel()
        self._stop()
        self._state_reporter.log_summary()
        log_change("stopped", status=status)
        return status

    def drain(self) -> None:
        """Start draining."""
        self._draining.set()

    @property
    def ready(self) -> bool:
        """Whether new requests of callers are accepted."""
        fleet_known = self._store.joined or len(self._membership.present()) > 1
        state_held = self._configuration.current is not None and self._rules.ready
        return fleet_known and state_held and not self._draining.is_set()

    @property
    def upstream_monitor(self) -> UpstreamMonitor:
        """Handles the announcements of the upstream."""
        return self._upstream_monitor

    def reload(self) -> None:
        """Log that changed settings take effect only at the next start.

        Addresses and limits are fixed for the life of a process, since callers and
        other nodes already know them.
        """
        log_change("reload", outcome="settings hold until the next start")

    def record_malformed(self, what: str, **fields: object) -> None:
        """Count malformed input and log it within the line budget."""
        self._counters.events[f"{what}.malformed"] += 1
        if self._log.should_log(b"", plain=False):
            self._log.write(f"{what}_malformed", b"", fields)

    def _create_components(self, decode: Callable[[bytes], Configuration]) -> None:
        settings = self._settings
        # Boot IDs sort by start time, so that the later of two incarnations is known.
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
            # Rows of the store are read as incarnation 0.
            incarnation=1,
        )
        self._configuration = ConfigurationHolder(decode)
        self._rules = RevisionState(min(_RULES_QUORUM, settings.data_centres))
        self._configuration.on_change = self._on_configuration
        self._membership = Membership(
            self._clock,
            self._random,
            me,
            MembershipSettings(push_fanout=_PUSH_FANOUT, push_interval=TICK_SECONDS),
        )
        self._gate_reports = GateReportTable(self._clock, me.name)
        self._quarantine = Quarantine(self._clock)
        self._dependencies = OperationDependencies()
        self._membership.on_status = self._on_member
        self._lease = ConfigurationLease(BootTimeClock())
        self._objectives = RouteObjectives(self._clock)
        self._decision_log = DecisionLog(
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
            self._decision_log,
            GateRetryBudget(
                self._clock,
                relay.retry_budget_ratio,
                relay.retry_budget_extra,
                relay.retry_budget_window,
            ),
            self._quarantine,
            self._budgets.gate_bodies,
            self._budgets.responses,
            self._input_pacer,
        )
        self._handler = RelayPeerHandler(
            self._clock,
            self._gate,
            self._configuration,
            self._rules,
            self._counters,
        )
        self._pool = PeerPool(
            lambda: self._create_link(connecting=True), self._clock, _SILENCE_TIMEOUT_S
        )

    def _create_tasks(self) -> None:
        settings = self._settings
        self._gossip_task = GossipTask(
            self._clock,
            self._random,
            self._membership,
            self._pool,
            settings.fleet_key,
            [],
            self._counters,
        )
        self._handler.set_gossip_task(self._gossip_task)
        self._gate_report_task = GateReportTask(
            self._gate_reports, self._membership, self._gossip_task, self._gate
        )
        self._quarantine_task = QuarantineTask(
            self._quarantine,
            self._membership,
            self._gossip_task,
            self._platform,
            self._random,
            self._gate.has_succeeded,
            time.time,
        )
        self._gate.crash_detector.on_crash = self._quarantine_task.on_crash
        self._dependency_task = DependencyTask(
            self._dependencies, self._membership, self._platform, self._counters
        )
        self._retirements = RetirementTask(
            self._clock,
            self._random,
            self._platform,
            self._membership,
            self._gossip_task,
            self._pool,
            self._counters,
        )
        self._handler.set_retirement_task(self._retirements)
        self._store = StoreTasks(
            self._clock,
            self._random,
            self._platform,
            (settings.configuration_table, settings.configuration_key),
            self._configuration,
            self._rules,
            self._membership,
            self._gossip_task,
            self._pool,
            self._counters,
            self._quarantine_task.merge_record,
            self._dependency_task.merge_record,
            self._retirements,
            self._quarantine_task.persist_all,
            self._lease,
        )
        self._account_tasks = ClientAccountTasks(
            self._random,
            settings.relay,
            self._configuration,
            self._lease,
            self._membership,
            self._gossip_task,
            self._store,
            self._counters,
        )
        self._prober = UpstreamProber(
            self._clock, *settings.upstream, settings.names, self._input_pacer
        )

    def _create_servers(
        self, announcement_handler: Callable[["RelayNode"], RequestHandler]
    ) -> None:
        settings = self._settings
        self._directory = InstanceDirectory(
            self._clock, self._random, self._membership, _LOCAL_LOAD_LIMIT
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
            self._decision_log,
            self._gate_reports,
            self._quarantine,
            self._account_tasks.accounts,
            self._dependencies,
            self._account_tasks.fair_shares,
        )
        self._state_reporter = StateReporter(
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
            self._budgets.bodies,
            self._account_tasks.demand.gauges,
            partial(
                memory_gauges,
                lambda: self._callers.unsent_bytes,
                lambda: self._pool.unsent_bytes + self._handler.unsent_bytes,
                lambda: self._gate.unsent_bytes,
                lambda: self._budgets.requests.held,
                lambda: self._budgets.responses.held,
            ),
        )
        self._upstream_monitor = UpstreamMonitor(
            self._clock,
            self._gate,
            self._membership,
            self._configuration,
            self._prober,
            self._retirements,
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
            (address, self._create_server(handler)) for address, handler in handlers
        ]
        self._callers = self._servers[0][1]
        errors = UnexpectedErrors(self._counters.events)
        self._callers.on_error = partial(errors.report, "request")
        self._callers.ends = ConnectionEndLog(self._counters, self._log)
        self._callers.limits = RequestLimits()
        self._callers.max_connections = self._max_caller_connections
        self._callers.uploads = UploadResources(
            self._budgets.bodies, self._counters.events
        )
        self._callers.unsent = self._budgets.responses
        self._callers.requests = self._budgets.requests
        self._metrics = self._create_server(
            MetricsHandler(
                self._counters, self._state_reporter.gauges, self._objectives
            )
        )

    def _create_server(self, handler: RequestHandler) -> HttpServer:
        """Return a server for the platform, the upstream or operators."""
        limits = RequestLimits(max_body_bytes=_MAX_OWN_BODY_BYTES)
        server = HttpServer(
            self._clock,
            self._settings.names,
            limits,
            handler,
            pacer=self._input_pacer,
        )
        server.max_connections = lambda: _MAX_OWN_CONNECTIONS
        return server

    def _max_caller_connections(self) -> float:
        others = self._gate.connections + self._pool.connected
        others += len(self._handler.links) + self._handshakes.count
        others += sum(len(server.connections) for _, server in self._servers[1:])
        others += len(self._metrics.connections)
        return self._budgets.max_clients(others)

    def _create_link(self, connecting: bool) -> PeerLink:
        return PeerLink(
            self._clock,
            self._settings.fleet_key,
            self._membership.me.name,
            self._settings.relay.data_centre,
            self._handler,
            _MAX_BODY_BYTES,
            connecting,
            self._budgets.responses,
        )

    def _accept_link(self) -> PeerLink:
        link = self._create_link(connecting=False)
        self._handshakes.add(link)
        return link

    async def _start(self) -> None:
        host, port = self._settings.peers
        loop = asyncio.get_running_loop()
        self._peer_listener = await loop.create_server(self._accept_link, host, port)
        await self._gossip_task.start(host, port)
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
            # The port is in use.  Metrics are optional: the node still serves
            # requests and writes its logs.
            log_change("metrics_not_served", error=str(error))

    async def _tick_forever(self) -> None:
        events = self._counters.events
        steps = (
            self._gate.tick,
            self._gossip_task.tick,
            self._gate_report_task.tick,
            self._quarantine_task.tick,
            self._dependency_task.tick,
            self._retirements.tick,
            self._account_tasks.tick,
            self._pool.heartbeat,
            self._upstream_monitor.tick,
            self._log.flush,
        )
        each_tick = PeriodicSteps(self._clock, steps, events)
        sweep = PeriodicSteps(self._clock, [self._sweep], events)
        summary = PeriodicSteps(self._clock, [self._state_reporter.log_summary], events)
        for tick in count(1):
            each_tick.run()
            if tick % _SWEEP_TICKS == 0:
                sweep.run()
            if tick % _SUMMARY_TICKS == 0:
                summary.run()
            await sleep_ticks(1)

    def _sweep(self) -> None:
        self._objectives.flush()
        self._gate.sweep()
        self._budgets.responses.sweep()
        self._relay.orphaned_calls.sweep()
        for _, server in self._servers:
            server.sweep()
        self._metrics.sweep()
        self._handshakes.sweep()
        if self._store.joined:
            # Before, the members that this node sees may be a few of all.
            service = self._settings.relay.service
            self._gate.grants.set_gate_count(
                self._directory.instance_count(service),
                self._directory.recorded_count(service),
            )

    def _on_member(self, member: Member, before: MemberStatus | None) -> None:
        self._state_reporter.on_member(member, before)
        self._account_tasks.on_member(member, before)

    def _on_configuration(self, configuration: Configuration) -> None:
        self._state_reporter.on_configuration()
        self._callers.limits = RequestLimits(
            configuration.max_head_bytes,
            configuration.max_body_bytes,
            configuration.head_timeout,
            configuration.idle_timeout,
        )
        if configuration.upload_routes:
            self._callers.limit_receive_buffers()
        self._account_tasks.on_configuration()

    async def _drain(self) -> int:
        shutdown = Shutdown(
            self._clock,
            self._settings.grace,
            self._gossip_task,
            self._gate,
            self._callers,
            lambda: self._relay.give_up(self._callers.pending),
            self._handler,
        )
        self._upstream_monitor.close()
        policy = shutdown.begin()
        self._relay.drain(policy)
        service = self._settings.relay.service
        self._gate.refuse_runs_beyond(
            policy.runs_end_at, lambda: self._directory.instance_count(service) > 1
        )
        removal = asyncio.ensure_future(self._store.leave())
        status = await shutdown.finish()
        # What comes from now on could not be seen to its end.
        self._relay.refuse_all()
        self._gate.detach()
        await shutdown.finish_links()
        removal.cancel()
        return status

    def _stop(self) -> None:
        self._quarantine_task.close()
        self._dependency_task.close()
        self._retirements.close()
        self._store.close()
        self._gossip_task.close()
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
