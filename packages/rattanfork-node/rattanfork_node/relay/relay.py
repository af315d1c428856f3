"""Route path, entry: route lookup and admission."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from rattanfork_core.advertised import UpstreamReportTable
from rattanfork_core.circuit_breaker import OperationBreakers
from rattanfork_core.clock import Clock
from rattanfork_core.fair_shares import FairShares
from rattanfork_core.gate_status import (
    CallChainThresholds,
    EarlyShedder,
    GateReportTable,
    OperationDependencies,
    ThresholdCache,
)
from rattanfork_core.membership import Membership
from rattanfork_core.quarantine import Quarantine
from rattanfork_core.request import (
    Reason,
    jittered_retry_after,
    rank_of_call,
)
from rattanfork_core.revision import RevisionState
from rattanfork_core.routes import Route
from rattanfork_core.routing import InstancePicker

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.http1 import Exchange, HeaderNames
from rattanfork_node.http1.handler import RequestHandler
from rattanfork_node.member.directory import InstanceDirectory
from rattanfork_node.peer import PeerPool
from rattanfork_node.relay.admitted_request import AdmittedRequest
from rattanfork_node.relay.client_accounts import ClientAccounts, Refusal
from rattanfork_node.relay.completion import RequestCompletion
from rattanfork_node.relay.deadlines import deadline_of
from rattanfork_node.relay.decision_log import DecisionLog
from rattanfork_node.relay.drain_policy import DrainPolicy
from rattanfork_node.relay.forwarding import Forwarding
from rattanfork_node.relay.gate import Gate
from rattanfork_node.relay.job import Job
from rattanfork_node.relay.orphaned_calls import OrphanedCalls
from rattanfork_node.relay.refusals import RefusalResponder
from rattanfork_node.relay.request_rank import RequestRanker
from rattanfork_node.relay.settings import RelaySettings
from rattanfork_node.relay.uploads import UploadReader
from rattanfork_node.telemetry import Counters, log_change

if TYPE_CHECKING:
    from rattanfork_node.relay.rule_decisions import RuleDecision, RuleEvaluator

_NO_INSTANCES: frozenset[str] = frozenset()


class Relay(RequestHandler):
    """Routes and admits requests.

    Explanation
    ===========

    A caller's request is refused here, before any work is done, if every instance
    that could run it has announced that it, or a service further downstream, sheds
    requests of this rank.  Child calls, which this node's own upstream makes during
    a run, are ranked by that run and are not refused here, since refusing them would
    waste the work already done.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of the jitter of Retry-After.
    settings : RelaySettings
        Settings of the route path.
    names : HeaderNames
        Names of request and response headers.
    configuration : ConfigurationHolder
        The configuration in force, with the routes.
    rules : RevisionState
        The operators' ordered rules; they override the routes.
    directory : InstanceDirectory
        The instances of each service.
    membership : Membership
        Gossip membership, in which replaced members are marked dead.
    pool : PeerPool
        Connections to other nodes.
    gate : Gate
        The gate of this node's upstream.
    counters : Counters
        Counts requests and events.
    decision_log : DecisionLog
        Records the decisions on each request.
    reports : GateReportTable
        Thresholds and health that the gates of all nodes have reported.
    quarantine : Quarantine
        Fingerprints of requests that no upstream may run.
    accounts : ClientAccounts
        Authenticates callers by API key, if the configuration has accounts.
    dependencies : OperationDependencies
        Services behind each operation, learned from the responses to callers.
    fair_shares : FairShares or None
        Shares capacity fairly by account under overload; None to share it by request.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        settings: RelaySettings,
        names: HeaderNames,
        configuration: ConfigurationHolder,
        rules: RevisionState,
        directory: InstanceDirectory,
        membership: Membership,
        pool: PeerPool,
        gate: Gate,
        counters: Counters,
        decision_log: DecisionLog,
        reports: GateReportTable,
        quarantine: Quarantine,
        accounts: ClientAccounts,
        dependencies: OperationDependencies,
        fair_shares: FairShares | None = None,
    ) -> None:
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.directory = directory
        self.pool = pool
        self.gate = gate
        self.counters = counters
        self.quarantine = quarantine
        self.early_shedder = EarlyShedder(clock)
        #: What the upstreams of other instances have advertised.
        self.upstream_reports = UpstreamReportTable()
        self.dependencies = dependencies
        #: Circuit breakers of the operations that callers request.
        self._breakers = OperationBreakers(clock)
        self._breakers.on_change = _log_circuit
        self._reports = reports
        self._chain_thresholds = CallChainThresholds(
            reports, self.dependencies, directory.instance_count
        )
        self._ranker = RequestRanker(self._chain_thresholds, fair_shares, counters)
        self.own_name = membership.me.name
        self._accounts = accounts
        self._refusals = RefusalResponder(names, counters, decision_log, accounts)
        #: Sends the final responses of forwarded requests.
        self.completion = RequestCompletion(
            random,
            settings.retry_after,
            membership.me.name,
            gate,
            quarantine,
            self.early_shedder,
            self._breakers,
            counters,
            decision_log,
            self._refusals,
        )
        #: Calls of runs that the gate does not know, or no longer.
        self.orphaned_calls = OrphanedCalls(clock, configuration)
        gate.on_run_lost = self.orphaned_calls.on_run_lost
        accounts.may_be_call = self.orphaned_calls.may_include
        accounts.accept = self._route_request
        accounts.refuse = self._refuse_account
        self._uploads = UploadReader(
            clock,
            configuration,
            rules,
            gate,
            quarantine,
            accounts,
            self._refusals,
            settings.retry_after,
        )
        self._random = random
        self._settings = settings
        self._configuration = configuration
        self._rules = rules
        self._rule_evaluator: RuleEvaluator | None = None
        self._membership = membership
        self._drain_policy: DrainPolicy | None = None
        self._refuses_all = False
        self._operations: dict[tuple[str, str], str] = {}
        self._background: set[asyncio.Task] = set()
        self._caller_line = names.caller + b": " + settings.service.encode() + b"\r\n"

    def on_request(self, exchange: Exchange) -> None:
        """Handle a request whose head and body were read."""
        if self._refuses_all:
            self._refuse_as_leaving(exchange)
            return
        configuration = self._configuration.current
        if configuration is None or not self._rules.ready:
            is_call = self.gate.parent_of(exchange.request_id) is not None
            self._refusals.refuse_unready(exchange, is_call)
            return
        route = configuration.table.find(exchange.host, exchange.path)
        if route is None:
            self._refusals.refuse_without_route(exchange)
            return
        accounts = configuration.accounts
        if accounts is None or self.gate.parent_of(exchange.request_id) is not None:
            self._route_request(exchange, route)
        else:
            self._accounts.admit(exchange, route, accounts)

    def on_head(self, exchange: Exchange) -> bool:
        """Take over a request on a route of uploads from its head."""
        if self._refuses_all and exchange.upload.is_counted:
            self._refuse_as_leaving(exchange)
            return True
        return self._uploads.on_head(exchange)

    def _refuse_as_leaving(self, exchange: Exchange) -> None:
        """Refuse a request before it waits for its account, as the node exits."""
        is_call = self.gate.parent_of(exchange.request_id) is not None
        retry_after = self._settings.retry_after
        self._refusals.refuse(exchange, Reason.LEAVING, retry_after, is_call=is_call)

    def _refuse_account(
        self, exchange: Exchange, route: Route, refusal: Refusal
    ) -> None:
        """Refuse a request for its key or quota; log why one without is no call."""
        inputs = {}
        if not any(exchange.keys):
            inputs["keyless"] = self.orphaned_calls.describe(exchange.request_id)
        self._refusals.refuse_account(exchange, route, refusal, **inputs)

    def _route_request(self, exchange: Exchange, route: Route) -> None:
        """Route a request after authentication."""
        parent = self.gate.parent_of(exchange.request_id)
        if (
            self.quarantine.active
            and exchange.upload is None
            and self.quarantine.contains(exchange.fingerprint)
        ):
            self._refusals.refuse(
                exchange,
                Reason.QUARANTINED,
                self.quarantine.seconds_left(exchange.fingerprint),
                is_call=parent is not None,
                route=route.name,
            )
            return
        exchange.header_block += self._caller_line
        service = self._configuration.next_service(route)
        picker = self.directory.picker(service)
        if picker is None or not picker.subset:
            retry_after = self._settings.retry_after
            self._refusals.refuse(
                exchange,
                Reason.NO_INSTANCE,
                retry_after,
                is_call=parent is not None,
                route=route.name,
            )
        elif parent is not None:
            self._admit_call(exchange, route, service, parent, picker)
        else:
            self._admit_caller_request(exchange, route, service, picker)

    def _admit_call(
        self,
        exchange: Exchange,
        route: Route,
        service: str,
        parent: Job,
        picker: InstancePicker,
    ) -> None:
        """Forward a call of a run, once its body is there."""
        if exchange.is_body_pending:
            resume = partial(self._admit_call, exchange, route, service, parent, picker)
            self._uploads.read(exchange, route, parent, resume)
            return
        rank = rank_of_call(parent.rank, parent.succeeded_calls)
        operation = self.operation(route, service)
        blocked = self._shedding_instances(picker, operation, service, rank)
        self._forward(
            exchange,
            route,
            service,
            operation,
            rank,
            parent,
            picker,
            blocked or _NO_INSTANCES,
        )

    def _admit_caller_request(
        self, exchange: Exchange, route: Route, service: str, picker: InstancePicker
    ) -> None:
        """Apply the rules to a caller's request; refuse it or check the load."""
        outside = _NO_INSTANCES
        rule = ""
        rule_sets_importance = False
        if self._rules.revision:
            decision = self._evaluate_rules(exchange, route, service, picker)
            rule, route = decision.rule, decision.route
            rule_sets_importance = decision.sets_importance
            if decision.refusal is not None:
                retry_after = decision.retry_after or self._settings.retry_after
                self._refusals.refuse(
                    exchange, decision.refusal, retry_after, route=route.name, rule=rule
                )
                return
            if decision.data_centre is not None:
                outside = picker.instances_outside(decision.data_centre)
        operation = self.operation(route, service)
        rank = self._ranker.rank(
            exchange, route, rule_sets_importance, operation, service
        )
        self._admit_by_load(
            exchange, route, service, operation, rank, picker, outside, rule
        )

    def _admit_by_load(
        self,
        exchange: Exchange,
        route: Route,
        service: str,
        operation: str,
        rank: float,
        picker: InstancePicker,
        outside: frozenset[str],
        rule: str,
    ) -> None:
        """Apply draining and load shedding; forward or refuse a caller's request.

        For an upload this is done twice: from its head, and once the body is there.
        """
        if self._drain_policy is not None and not self._drain_policy.accepts(
            route, picker
        ):
            retry_after = self._settings.retry_after
            self._refusals.refuse(
                exchange, Reason.LEAVING, retry_after, route=route.name
            )
            return
        share = self._breakers.share(operation)
        if share < 1.0 and not self._breakers.admits(
            operation, exchange.request_id.decode("latin-1")
        ):
            self._refusals.refuse(
                exchange,
                Reason.CIRCUIT_OPEN,
                self._jittered_retry_after(rank),
                route=route.name,
                admitted_share=round(share, 3),
            )
            return
        blocked = None
        if rank < self._chain_thresholds.threshold(operation, service):
            blocked = self._shedding_instances(picker, operation, service, rank)
        if blocked is None:
            self._refusals.refuse(
                exchange,
                Reason.SHED_EARLY,
                self._jittered_retry_after(rank),
                route=route.name,
                rank=round(rank, 3),
                thresholds=self.early_shedder.thresholds(picker, operation),
                chain=self._chain_thresholds.thresholds_by_service(operation, service),
            )
            return
        if exchange.is_body_pending:
            inputs = (exchange, route, service, operation, rank, picker, outside, rule)
            resume = partial(self._admit_by_load, *inputs)
            self._uploads.read(exchange, route, None, resume)
            return
        self._forward(
            exchange,
            route,
            service,
            operation,
            rank,
            None,
            picker,
            blocked,
            outside,
            rule,
        )

    def _shedding_instances(
        self, picker: InstancePicker, operation: str, service: str, rank: float
    ) -> frozenset[str] | None:
        """Return the instances that shed a rank; None if all have announced it."""
        blocked = self.early_shedder.shedding_instances(picker, operation, rank)
        if blocked is None or not len(self._reports):
            return blocked
        shedding = self._reports.shedding_instances(service, picker.subset, rank)
        # Reports may be outdated: if all instances shed by them, the reports are
        # ignored and the gate that receives the request decides.
        if not shedding or len(shedding) == len(picker.subset):
            return blocked
        return blocked | shedding

    def drain(self, policy: DrainPolicy) -> None:
        """Accept only callers' requests that a drain policy accepts.

        Child calls of the node's own upstream are accepted until the node exits, as
        the runs that make them can't complete without them.
        """
        self._drain_policy = policy

    def refuse_all(self) -> None:
        """Pass on no further request, calls of runs included, as the node exits."""
        self._refuses_all = True

    def give_up(self, exchanges: Iterable[Exchange]) -> None:
        """End requests in flight with what is known of them, as the node stops."""
        self._refusals.give_up(exchanges, self._settings.retry_after)

    def operation(self, route: Route, service: str) -> str:
        """Return the key under which thresholds of a route and service are kept."""
        key = (route.name, service)
        name = self._operations.get(key)
        if name is None:
            if len(self._operations) > 4 * ThresholdCache.MAX_ENTRIES:
                self._operations.clear()
            name = self._operations[key] = f"{route.name}/{service}"
        return name

    def mark_dead(self, name: str) -> None:
        """Record that another process answers at a member's address."""
        self._membership.mark_dead(name)

    def count_unreachable(self, name: str) -> None:
        """Count a failed connection to a member."""
        self.counters.events["relay.unreachable"] += 1

    def spawn(self, work: Coroutine) -> None:
        """Run a coroutine in the background until ``close``."""
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def close(self) -> None:
        """Cancel background tasks."""
        for task in self._background:
            task.cancel()

    def _forward(
        self,
        exchange: Exchange,
        route: Route,
        service: str,
        operation: str,
        rank: float,
        parent: Job | None,
        picker: InstancePicker,
        blocked: frozenset[str],
        ruled_out: frozenset[str] = _NO_INSTANCES,
        rule: str = "",
    ) -> None:
        if self._refuses_all:
            self._refusals.refuse(
                exchange,
                Reason.LEAVING,
                self._settings.retry_after,
                is_call=parent is not None,
                route=route.name,
            )
            return
        began = self.clock.now() - exchange.account_delay
        if exchange.upload is not None:
            began = exchange.upload.began_at
        deadline = deadline_of(exchange, route, parent, began)
        admitted = AdmittedRequest(
            route,
            service,
            operation,
            rank,
            began,
            deadline,
            parent,
            picker,
            blocked,
            ruled_out,
            rule,
        )
        forwarding = Forwarding(self, exchange, admitted)
        if parent is not None:
            parent.call_cancels[id(exchange)] = forwarding.on_caller_disconnected
        forwarding.start()

    def _evaluate_rules(
        self, exchange: Exchange, route: Route, service: str, picker: InstancePicker
    ) -> RuleDecision:
        if self._rule_evaluator is None:
            from rattanfork_node.relay.rule_decisions import RuleEvaluator

            self._rule_evaluator = RuleEvaluator(self.clock, self._settings.data_centre)
        return self._rule_evaluator.evaluate(
            self._rules.rules,
            route,
            exchange.account,
            service,
            exchange.method.decode("latin-1"),
            exchange.account_name or self._settings.service,
            self.early_shedder.shed_share(picker, self.operation(route, service)),
        )

    def _jittered_retry_after(self, rank: float) -> float:
        return jittered_retry_after(self._settings.retry_after, rank, self._random)


def _log_circuit(operation: str, is_open: bool) -> None:
    log_change("circuit_opened" if is_open else "circuit_closed", operation=operation)
