"""Test harnesses for a gate and a relay, with fakes instead of sockets."""

import asyncio
from functools import wraps
from random import Random

from rattanfork_core.budgets import GateRetryBudget
from rattanfork_core.client_accounts import AccountIndex, ClientAccount
from rattanfork_core.clock import ManualClock
from rattanfork_core.fair_shares import FairShares, TotalsTable
from rattanfork_core.gate_status import GateReportTable, OperationDependencies
from rattanfork_core.membership import Member, Membership
from rattanfork_core.objectives import RouteObjectives
from rattanfork_core.quarantine import Quarantine
from rattanfork_core.quota import Quota, QuotaDecision
from rattanfork_core.request import CallResult
from rattanfork_core.revision import ConfigurationLease, RevisionState, RulesRecord
from rattanfork_core.routes import Configuration, Route, WeightedService
from rattanfork_core.trace import LogSampler

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.http1 import HeaderNames, UpstreamResponse
from rattanfork_node.http1.exchange import Exchange
from rattanfork_node.member.directory import InstanceDirectory
from rattanfork_node.peer import LinkLostError, Run, RunReply
from rattanfork_node.relay import ClientAccounts, DecisionLog, Relay, RelaySettings
from rattanfork_node.relay.body_bound import BodyBound
from rattanfork_node.relay.gate import Gate
from rattanfork_node.relay.job import Job
from rattanfork_node.relay.upstream import Upstream
from rattanfork_node.telemetry import Counters, LineWriter, RequestLog

#: Retries that the harnesses' services may get in each window beside a fifth of their
#: requests.
EXTRA_RETRIES = 48


def on_loop(test):
    """Run a test inside an event loop."""

    @wraps(test)
    def run(*args, **kwargs):
        async def inner():
            await test(*args, **kwargs)

        asyncio.run(inner())

    return run


class FakeConnection:
    """A connection to an upstream; records the request, the test responds."""

    def __init__(self) -> None:
        self.sent = b""
        self.number = self.uses = 1
        self.dropped = 0
        self.idle_before = 0.0
        self.done = None
        self.body = None
        self.aborted = False
        self.evicted = False

    def send(self, data, request_id, done, is_head=False, body=None) -> None:
        self.sent, self.done, self.body = data, done, body

    def abort(self, cause=None) -> None:
        self.aborted = True


class FakeUpstreamPool:
    """Pool of fake connections; may be broken, or hold back connections."""

    def __init__(self) -> None:
        self.connections: list[FakeConnection] = []
        self.broken = False
        self.pending: list = []
        self.hold_connects = False
        #: Number of open connections, and whether the upstream accepts new ones.
        self.settled_connections = 1
        self.accepting = True

    async def can_connect(self) -> bool:
        return self.accepting

    def acquire(self, on_connection, retryable=True, request_id=b"") -> None:
        if self.hold_connects:
            self.pending.append(on_connection)
        elif self.broken:
            on_connection(None)
        else:
            self.connections.append(FakeConnection())
            on_connection(self.connections[-1])

    def release(self, connection) -> None:
        connection.aborted = True

    def retire(self) -> None:
        pass

    def sweep(self) -> None:
        pass


class FakeLog(RequestLog):
    """Keeps log lines instead of writing them."""

    def __init__(self, clock: ManualClock) -> None:
        self.lines: list[dict] = []
        budget = LogSampler(clock)
        super().__init__(LineWriter(None), budget, "me", clock.now)

    def write(self, kind: str, request_id: bytes, fields: dict) -> None:
        """Keep a log line."""
        self.lines.append({"kind": kind, "id": request_id.decode(), **fields})


def settled_retry_budget(clock: ManualClock) -> GateRetryBudget:
    """Return the retry budget of the only gate of a service, after a full window."""
    budget = GateRetryBudget(clock, ratio=0.2, extra=EXTRA_RETRIES, window=10)
    budget.set_gate_count(1)
    clock.advance(12.0)
    return budget


class GateHarness:
    """A gate whose upstream is played by the test."""

    def __init__(self, slots: int = 1, upload_bytes: int = 1 << 20) -> None:
        self.clock = ManualClock(88.0)
        self.log = FakeLog(self.clock)
        holder, rules = ConfigurationHolder(lambda _: None), RevisionState()
        decision_log = DecisionLog(self.clock, self.log, Counters(), holder, rules)
        self.grants = settled_retry_budget(self.clock)
        self.quarantine = Quarantine(self.clock)
        self.gate = Gate(
            self.clock,
            "b1",
            HeaderNames(),
            Counters(),
            decision_log,
            self.grants,
            self.quarantine,
            BodyBound(upload_bytes),
        )
        self.gate.attach(Upstream("u1", "127.0.0.1", 1, slots), 9)
        self.pool = self.gate._pool = FakeUpstreamPool()
        self.gate.crash_detector.watch(self.pool, self.gate.upstream)

    def submit(self, request_id: str = "r1", rank: float = 2.5, **changes):
        results: list[CallResult] = []
        fields = {
            "boot": "b1",
            "operation": "route/s",
            "method": b"GET",
            "target": b"/a/",
            "block": b"Host: h\r\n",
            "body": b"",
            "request_id": request_id.encode(),
            "rank": rank,
            "deadline": self.clock.now() + 2.0,
            "idempotent": True,
            "repeated": False,
            "may_have_arrived": False,
            "attempt": 1,
            "done": results.append,
        }
        job = Job(**{**fields, **changes})
        self.gate.submit(job)
        return job, results

    def answer(self, number: int, status: int = 200, **headers: bytes) -> None:
        response_headers = {
            name.replace("_", "-").encode(): v for name, v in headers.items()
        }
        done = self.pool.connections[number].done
        done(UpstreamResponse(status, b"X: y\r\n", b"body", response_headers))


class FakeLink:
    """A link to a peer node that is played by the test."""

    connection_id = "c1"
    peer_level = 1
    usable = True
    is_writable = True
    #: Whether runs were written to the transport before the link was lost.
    written = True
    #: Whether the peer is silent, so that its replies may still come.
    is_silent = False

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.runs: list[tuple[Run, object]] = []
        self.sent: list = []
        self.forgotten: list[int] = []
        self.kept: dict[int, asyncio.Future] = {}
        self.number = 0

    def next_number(self) -> int:
        self.number += 1
        return self.number

    def send_run(self, run, done) -> None:
        self.runs.append((run, done))

    def send(self, message) -> None:
        self.sent.append(message)

    def take_reply_body(self) -> None:
        return None

    def was_written(self, number) -> bool:
        return self.written

    def keep(self, number) -> asyncio.Future:
        future = asyncio.get_running_loop().create_future()
        if not self.is_silent:
            future.set_result(None)
        self.kept[number] = future
        return future

    def forget(self, number) -> None:
        self.forgotten.append(number)

    def reply(self, index: int, outcome, reason=0, status=0, **more) -> None:
        run, done = self.runs[index]
        fields = {
            "retry_elsewhere": False,
            "cut": 5.0,
            "busy": 1,
            "services_reached": [],
            **more,
        }
        done(RunReply(run.number, outcome, reason, status, b"", b"body", **fields))

    def lose(self, index: int) -> None:
        self.runs[index][1](None)


class FakePeerPool:
    """Fake links to peer nodes, by member name."""

    def __init__(self) -> None:
        self.links: dict[str, FakeLink] = {}
        self.verdicts: list = []
        self.fenced: list = []

    def ready_link(self, member) -> FakeLink | None:
        return self.links.get(member.name)

    async def open(self, address) -> FakeLink:
        raise LinkLostError("connection refused")

    async def fence_calls(self, member, connection, calls) -> list:
        self.fenced.append((member.name, connection, calls))
        verdict = self.verdicts.pop()
        if verdict is None:
            raise LinkLostError("gate did not answer the fence")
        return [verdict]


class FakeQuota(Quota):
    """Decides as the test has set, at once or when the test calls back."""

    def __init__(self) -> None:
        self.decision: QuotaDecision | None = QuotaDecision.GRANTED
        self.retry_after = 0.0
        self.pending: list = []
        self.taken: list[str] = []
        self.refunded: list[str] = []

    def take(self, account, on_decision) -> None:
        self.taken.append(account.name)
        if self.decision is None:
            self.pending.append(on_decision)
        else:
            on_decision(self.decision, self.retry_after)

    def refund(self, account, granted_at) -> None:
        self.refunded.append(account.name)

    def tick(self) -> None:
        pass


class FakeClientConnection:
    """Client connection that ignores flushes; tests read ``exchange.output``."""

    def flush_responses(self) -> None:
        pass


class RelayHarness:
    """A relay on node ``me`` of service ``s``, with an upstream and peers of ``t``."""

    def __init__(
        self,
        peers: int = 0,
        accounts: dict[ClientAccount, list[str]] | None = None,
        revoke_within: float | None = 5.0,
        **route,
    ) -> None:
        self.clock = ManualClock(100.0)
        self.index = None if accounts is None else AccountIndex(accounts)
        self.counters = Counters()
        self.log = FakeLog(self.clock)
        self.objectives = RouteObjectives(self.clock)
        fields = {"timeout": 1.0, "idempotent": True, "priority": 2, **route}
        self.route = Route("r", "h", "/a/", (WeightedService("t"),), **fields)
        self.inner = Route("i", "h", "/i/", (WeightedService("t"),), **fields)
        me = Member("me", "b1", "s", "dc1", "127.0.0.1", 1, 1, 8, ready=True)
        membership = Membership(self.clock, Random(1), me)
        self.pool = FakePeerPool()
        for index in range(peers):
            peer = Member(f"p{index}", "b", "t", "dc1", "127.0.0.1", 2 + index, 2, 8)
            membership.merge([peer])
            self.pool.links[peer.name] = FakeLink(peer.name)
        self.gate_harness = GateHarness(8)
        self.gate = self.gate_harness.gate
        self.gate._clock = self.clock
        self.quarantine = self.gate_harness.quarantine = Quarantine(self.clock)
        self.gate._quarantine = self.quarantine
        self.version = 1
        self.holder = holder = ConfigurationHolder(
            lambda _: Configuration(
                self.version, (self.route, self.inner), {}, accounts=self.index
            )
        )
        holder.offer(b"-")
        self.lease = ConfigurationLease(self.clock)
        self.lease.confirm(self.clock.now())
        self.quota = FakeQuota()
        self.confirmations_requested = 0
        self.accounts = ClientAccounts(
            self.clock,
            holder,
            self.lease,
            self.quota,
            self.counters,
            revoke_within,
            self._request_confirmation,
        )
        self.rules = RevisionState()
        self.rules.receive_from_store(None)
        self.reports = GateReportTable(self.clock, me.name)
        self.fair_shares = FairShares(self.clock, TotalsTable(self.clock))
        self.relay = Relay(
            self.clock,
            Random(1),
            RelaySettings("s", "dc1"),
            HeaderNames(),
            holder,
            self.rules,
            InstanceDirectory(self.clock, Random(1), membership),
            membership,
            self.pool,
            self.gate,
            self.counters,
            DecisionLog(
                self.clock,
                self.log,
                self.counters,
                holder,
                self.rules,
                self.objectives,
            ),
            self.reports,
            self.quarantine,
            self.accounts,
            OperationDependencies(),
            self.fair_shares,
        )

    def change_accounts(self, accounts: dict[ClientAccount, list[str]] | None) -> None:
        """Put a configuration with other accounts into force."""
        self.index = None if accounts is None else AccountIndex(accounts)
        self.version += 1
        self.holder.offer(b"-")
        self.accounts.recheck_waiting()

    def _request_confirmation(self) -> None:
        self.confirmations_requested += 1

    def accept_rules(self, text: str) -> None:
        """Put a document of rules into force."""
        revision = self.rules.revision + 1
        self.rules.receive_from_store(RulesRecord(revision, "op", "ann", "", text))

    @property
    def links(self) -> list[FakeLink]:
        return list(self.pool.links.values())

    @property
    def runs(self) -> list:
        """Link and index of each run that was sent, link by link."""
        return [(link, i) for link in self.links for i in range(len(link.runs))]

    def send_request(
        self, path: str = "/a/x", request_id: str = "r1", wait=None, keys=()
    ) -> Exchange:
        exchange = Exchange(
            FakeClientConnection(),
            b"GET",
            path.encode(),
            "h",
            b"Host: h\r\n",
            b"",
            request_id.encode(),
            wait,
            True,
            tuple(keys),
        )
        self.relay.on_request(exchange)
        return exchange
