"""Composition root of a node that serves the project's own interface."""

import asyncio
import os
from random import Random, SystemRandom

from rattanfork_core.admission import AdmissionSettings
from rattanfork_core.burn import BurnMeter
from rattanfork_core.clock import MonotonicClock
from rattanfork_core.gate_status import ThresholdCache
from rattanfork_core.idempotency import TicketIssuer
from rattanfork_core.membership import CachedVersions, Member, Membership, MemberStatus
from rattanfork_core.revision import RevisionState
from rattanfork_core.settings import NodeSettings
from rattanfork_platform.http import HttpPlatform

from rattanfork_node.admin import Admin
from rattanfork_node.admin.announcement import Announcement
from rattanfork_node.app.fleet import FleetView
from rattanfork_node.app.peers import NodePeerHandler
from rattanfork_node.call_gate import CallGate, UpstreamClient
from rattanfork_node.call_ingress import (
    CallIngress,
    Dispatcher,
    EpochCache,
    InstanceDirectory,
    KeyAssigner,
    KeyIssuer,
)
from rattanfork_node.config.rules_poller import RulesPoller
from rattanfork_node.edge import CallServer
from rattanfork_node.member import GossipTask
from rattanfork_node.peer import PeerLink, PeerPool
from rattanfork_node.telemetry import Counters, log_change
from rattanfork_node.telemetry.metrics import Metrics

_TICK_SECONDS = 0.1
#: Seconds between the announcement of leaving and the close of the call server.
_LEAVE_PROPAGATION_S = 0.5
#: Consecutive refused connections after which an upstream is considered gone.
_MAX_REFUSED = 3


class Node:
    """A node that serves the project's own interface.

    Parameters
    ==========

    settings : NodeSettings
        Validated settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._clock = MonotonicClock()
        self._random = Random(int.from_bytes(os.urandom(16), "big"))
        self._counters = Counters()
        self._draining = asyncio.Event()
        self._stop_now = asyncio.Event()
        self._upstream: UpstreamClient | None = None
        self._upstream_url = ""
        self._announced_at = 0.0
        self._create_components()
        self._create_tasks()

    async def run(self) -> int:
        """Run until drained; return the exit status."""
        await self._start()
        log_change("started", **self._identity())
        ticker = asyncio.ensure_future(self._tick_forever())
        await self._draining.wait()
        status = await self._drain()
        ticker.cancel()
        await self._stop()
        log_change("stopped", status=status)
        return status

    def drain(self) -> None:
        """Start draining; a second call stops the node immediately."""
        if self._draining.is_set():
            self._stop_now.set()
        self._draining.set()

    def _create_components(self) -> None:
        settings = self._settings
        key = settings.security.key.encode()
        boot = os.urandom(6).hex()
        upstream = settings.upstream
        self._key = key
        self._rules = RevisionState(settings.rules.data_centres_needed)
        self._ticket_issuer = TicketIssuer(key, SystemRandom())
        me = Member(
            settings.instance,
            boot,
            settings.service,
            settings.data_centre,
            str(settings.host),
            settings.peer_port,
            settings.gossip_port,
            upstream.slots if upstream else 0,
            ready=False,
            # Rows of the store are read as incarnation 0.
            incarnation=1,
        )
        self._membership = Membership(self._clock, self._random, me)
        self._membership.cached_versions = lambda: CachedVersions(
            rules=self._rules.order
        )
        self._call_gate = CallGate(
            self._clock,
            settings.instance,
            boot,
            self._ticket_issuer,
            AdmissionSettings(
                slots=upstream.slots if upstream else 1,
                retry_after=settings.requests.retry_after,
                warmup=upstream.warmup if upstream else 0.0,
            ),
            self._counters,
            self._random,
        )
        self._burn = BurnMeter(self._clock)
        self._handler = NodePeerHandler(
            self._clock, self._call_gate, self._rules, self._burn, self._counters
        )
        self._pool = PeerPool(
            lambda: self._create_link(connecting=True),
            self._clock,
            settings.requests.silence,
        )

    def _create_tasks(self) -> None:
        settings = self._settings
        self._platform = None
        if settings.platform is not None:
            self._platform = HttpPlatform(
                settings.platform.url, settings.platform.timeout
            )
        seeds = [seed.rsplit(":", 1) for seed in settings.seeds]
        self._gossip_task = GossipTask(
            self._clock,
            self._random,
            self._membership,
            self._pool,
            self._key,
            [(host, int(port)) for host, port in seeds],
            self._counters,
        )
        self._handler.set_gossip_task(self._gossip_task)
        self._rules_poller = RulesPoller(
            self._clock,
            self._random,
            self._rules,
            self._membership,
            self._pool,
            self._platform,
            settings.rules,
            self._counters,
            lambda: self._gossip_task.newest_rules,
            self._membership.schedule_push,
        )
        self._metrics = Metrics(
            settings.instance,
            settings.service,
            settings.data_centre,
            self._counters,
            self._gauges,
            settings.telemetry.otlp_endpoint,
            settings.telemetry.export_interval,
        )
        self._create_call_server()
        self._fleet = FleetView(self._membership, self._pool, self._rules, self._burn)
        self._admin = Admin(
            self._rules,
            self._metrics,
            self._status,
            self._list_members,
            self._fleet,
            self._on_announcement,
            self.drain,
            self._rules_poller.read_soon,
        )

    def _create_call_server(self) -> None:
        settings = self._settings
        threshold_cache = ThresholdCache(self._clock)
        directory = InstanceDirectory(self._clock, self._random, self._membership)
        epochs = EpochCache(self._clock)
        dispatcher = Dispatcher(
            self._clock,
            self._membership,
            directory,
            self._pool,
            self._call_gate,
            threshold_cache,
            epochs,
        )
        issuer = KeyIssuer(
            self._ticket_issuer,
            directory,
            self._pool,
            self._call_gate,
            self._membership.me.name,
            epochs,
        )
        self._call_ingress = CallIngress(
            self._clock,
            self._random,
            settings.data_centre,
            settings.requests,
            self._rules,
            directory,
            dispatcher,
            self._call_gate,
            threshold_cache,
            self._ticket_issuer,
            self._counters,
            self._burn,
            issuer,
            KeyAssigner(self._platform) if self._platform else None,
        )
        self._call_server = CallServer(
            self._clock,
            self._random,
            self._call_ingress,
            settings.limits,
            self._counters,
            self._metrics,
        )

    def _create_link(self, connecting: bool) -> PeerLink:
        return PeerLink(
            self._clock,
            self._key,
            self._membership.me.name,
            self._settings.data_centre,
            self._handler,
            self._settings.limits.body,
            connecting,
        )

    async def _start(self) -> None:
        settings = self._settings
        host = str(settings.host)
        loop = asyncio.get_running_loop()
        self._peer_listener = await loop.create_server(
            lambda: self._create_link(connecting=False), host, settings.peer_port
        )
        await self._gossip_task.start(host, settings.gossip_port)
        await self._call_server.start(host, settings.edge_port)
        await self._admin.start(host, settings.admin_port)

    async def _tick_forever(self) -> None:
        while True:
            self._call_gate.tick()
            self._gossip_task.tick()
            self._rules_poller.tick()
            self._pool.heartbeat()
            self._check_upstream_alive()
            self._metrics.flush()
            await asyncio.sleep(_TICK_SECONDS)

    async def _drain(self) -> int:
        log_change("draining", busy=self._call_gate.outstanding)
        self._gossip_task.leave()
        self._call_gate.drain()
        # Other nodes must receive the announcement first.  Calls that they send until
        # then are refused as not run, and they retry them at another instance.
        await asyncio.sleep(_LEAVE_PROPAGATION_S)
        self._call_server.drain()
        stop = asyncio.ensure_future(self._stop_now.wait())
        done = asyncio.ensure_future(self._finish_in_flight())
        limit = self._settings.drain_limit
        await asyncio.wait(
            (stop, done), timeout=limit, return_when=asyncio.FIRST_COMPLETED
        )
        stop.cancel()
        if done.done():
            return 0
        done.cancel()
        log_change(
            "cut_off",
            guard=self._call_gate.outstanding,
            edge=self._call_server.in_flight,
        )
        return 1

    async def _finish_in_flight(self) -> None:
        while True:
            await self._call_gate.wait_idle()
            if self._call_server.in_flight == 0:
                return
            await asyncio.sleep(0.02)

    async def _stop(self) -> None:
        self._rules_poller.close()
        self._gossip_task.close()
        await self._call_server.stop()
        await self._admin.stop()
        self._peer_listener.close()
        self._pool.close()
        for link in list(self._handler.links):
            link.close("this node stops")
        if self._upstream is not None:
            await self._upstream.close()
        if self._platform is not None:
            await self._platform.close()
        self._metrics.close()

    def _on_announcement(self, announcement: Announcement) -> None:
        me = self._membership.me
        if announcement.service != me.service:
            raise ValueError(f"this node serves {me.service!r}")
        if announcement.leaving:
            self.drain()
            return
        self._announced_at = self._clock.now()
        self._call_gate.admission.limit.set_slots(announcement.slots)
        if self._upstream_url != announcement.url or self._upstream is None:
            self._replace_upstream(announcement)
        if me.slots != announcement.slots or not me.ready:
            self._membership.update_me(slots=announcement.slots, ready=True)

    def _replace_upstream(self, announcement: Announcement) -> None:
        old, self._upstream_url = self._upstream, announcement.url
        self._upstream = UpstreamClient(
            self._clock,
            announcement.url,
            announcement.connections,
            self._settings.limits.body,
        )
        self._call_gate.attach(self._upstream)
        self._call_gate.admission.limit.restart_warmup()
        log_change("upstream_announced", url=announcement.url)
        if old is not None:
            # Requests in flight on the old connections can still finish.
            loop = asyncio.get_running_loop()
            loop.call_later(60, lambda: asyncio.ensure_future(old.close()))

    def _check_upstream_alive(self) -> None:
        me = self._membership.me
        if self._settings.upstream is not None and me.ready:
            silence = self._clock.now() - self._announced_at
            refused = self._call_gate.consecutive_refusals
            upstream_down = refused >= _MAX_REFUSED
            if upstream_down or silence > self._settings.upstream.announce_timeout:
                # Calls sent here would only cost a retry at another instance.  The
                # next announcement attaches the upstream again.
                self._membership.update_me(ready=False)
                self._call_gate.attach(None)
                self._upstream_url = ""
                log_change("upstream_gone", quiet=round(silence, 1), refused=refused)

    def _identity(self) -> dict[str, str]:
        me = self._membership.me
        return {"node": me.name, "service": me.service, "data_centre": me.data_centre}

    def _gauges(self) -> dict[str, float]:
        admission = self._call_gate.admission
        return {
            "admission.running": admission.running,
            "admission.waiting": admission.waiting,
            "admission.limit": admission.limit.current,
            "admission.cut": admission.threshold,
            "admission.slowdown": admission.limit.slowdown,
            "edge.in_flight": self._call_server.in_flight,
            "keys.remembered": self._call_gate.key_registry.key_count,
            "members.present": len(self._membership.present()),
            "peers.connected": self._pool.connected,
            "peers.silent": self._pool.silent_closed,
            "rules.revision": self._rules.revision,
            "gossip.sent_bytes": self._gossip_task.sent_bytes,
        }

    def _status(self) -> dict:
        return {
            **self._identity(),
            "revision": self._rules.revision,
            "ready": self._rules.ready,
            "draining": self._draining.is_set(),
            "upstream": self._upstream_url if self._call_gate.has_upstream else None,
            "state": self._gauges(),
            "counters": self._counters.snapshot(),
            "platform": dict(self._platform.call_counts) if self._platform else {},
        }

    def _list_members(self) -> list[dict]:
        admin = self._settings.admin_port
        me = self._membership.me.name
        return [
            {
                **member._asdict(),
                "name": member.name,
                "status": MemberStatus(member.status).name.lower(),
                "admin_port": admin if member.name == me else None,
            }
            for member in self._membership.members.values()
        ]
