"""Where requests by routes enter."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import TYPE_CHECKING

from rattanfork_core.clock import Clock
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
    CallResult,
    Outcome,
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
from rattanfork_node.relay.admitted_request import Admitted, Attempted
from rattanfork_node.relay.client_accounts import ClientAccounts
from rattanfork_node.relay.decision_log import DecisionLog
from rattanfork_node.relay.drain_policy import DrainPolicy
from rattanfork_node.relay.forwarding import Forwarding
from rattanfork_node.relay.gate import Gate
from rattanfork_node.relay.job import Job
from rattanfork_node.relay.refusals import NOT_RUN_STATUS, Refusals
from rattanfork_node.relay.request_rank import rank_of_request
from rattanfork_node.relay.settings import RelaySettings
from rattanfork_node.telemetry import Counters

if TYPE_CHECKING:
    from rattanfork_node.relay.rule_decisions import Ruler, Verdict

#: Seconds before the deadline at which a request is given up, so that its
#: answer still reaches the caller in time.
_ANSWER_MARGIN = 0.015
#: Seconds after which a caller comes back to a node that has no
#: configuration yet; it reads one within about a second of its start.
_NOT_READY_RETRY = 0.3
_NOBODY: frozenset[str] = frozenset()
#: What a caller gets where no upstream answered and the request may have run.
_TIMEOUT_STATUS = 504
_UNKNOWN_STATUS = 502


class Relay(RequestHandler):
    """Brings requests by routes to their final answers.

    Explanation
    ===========

    A caller's request is refused here, before any work, if every instance
    that could take it has announced that it, or a service deeper down, sheds
    requests of this rank.  Calls of a run at this node's own upstream have
    the rank of that run and are not refused here: what was begun should end.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of the spread of Retry-After.
    settings : RelaySettings
        Bounds.
    names : HeaderNames
        Headers to set.
    configuration : ConfigurationHolder
        Routes.
    rules : RevisionState
        The operators' ordered rules; they stand above the routes.
    directory : InstanceDirectory
        Who serves what.
    membership : Membership
        Told of members that are gone.
    pool : PeerPool
        Connections to other nodes.
    gate : Gate
        This node's gate.
    counters : Counters
        What happened.
    journal : Journal
        Told what was decided on each request.
    reports : GateReportTable
        What the gates of the fleet tell.
    quarantine : Quarantine
        Knows the requests that no upstream may run.
    accounts : ClientAccounts
        Tells who sends a request, where requests carry keys.
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
        journal: DecisionLog,
        reports: GateReportTable,
        quarantine: Quarantine,
        accounts: ClientAccounts,
    ) -> None:
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.directory = directory
        self.pool = pool
        self.gate = gate
        self.counters = counters
        self.quarantine = quarantine
        self.early = EarlyShedder(clock)
        #: Services behind the operations that callers ask for here.
        self.reach = OperationDependencies()
        self._reports = reports
        self._chain = CallChainThresholds(reports, self.reach, directory.instance_count)
        self.my_name = membership.me.name
        self._journal = journal
        self._accounts = accounts
        self._refusals = Refusals(names, counters, journal, accounts)
        accounts.let_in = self._take
        accounts.refuse = self._refusals.refuse_account
        self._random = random
        self._settings = settings
        self._configuration = configuration
        self._rules = rules
        self._ruler: Ruler | None = None
        self._membership = membership
        self._departure: DrainPolicy | None = None
        self._operations: dict[tuple[str, str], str] = {}
        self._background: set[asyncio.Task] = set()
        self._caller_line = names.caller + b": " + settings.service.encode() + b"\r\n"

    def on_request(self, exchange: Exchange) -> None:
        """Take a request that was read whole."""
        configuration = self._configuration.current
        if configuration is None or not self._rules.ready:
            is_call = self.gate.parent_of(exchange.request_id) is not None
            self._refusals.refuse(
                exchange, Reason.NOT_READY, _NOT_READY_RETRY, is_call=is_call
            )
            return
        route = configuration.table.find(exchange.host, exchange.path)
        if route is None:
            self._refusals.refuse_without_route(exchange)
            return
        accounts = configuration.accounts
        if accounts is None or self.gate.parent_of(exchange.request_id) is not None:
            self._take(exchange, route)
        else:
            self._accounts.admit(exchange, route, accounts)

    def _take(self, exchange: Exchange, route: Route) -> None:
        """Take a request whose sender is known."""
        parent = self.gate.parent_of(exchange.request_id)
        if self.quarantine.active and self.quarantine.contains(exchange.fingerprint):
            self._refusals.refuse(
                exchange,
                Reason.QUARANTINED,
                self.quarantine.seconds_left(exchange.fingerprint),
                is_call=parent is not None,
                route=route.name,
            )
            return
        exchange.block += self._caller_line
        service = self._configuration.next_service(route)
        picker = self.directory.picker(service)
        if picker is None or not picker.subset:
            after = self._settings.retry_after
            self._refusals.refuse(
                exchange,
                Reason.NO_INSTANCE,
                after,
                is_call=parent is not None,
                route=route.name,
            )
        elif parent is not None:
            rank = rank_of_call(parent.rank, parent.succeeded_calls)
            blocked = self._blocked(picker, route, service, rank)
            self._forward(
                exchange, route, service, rank, parent, picker, blocked or _NOBODY
            )
        else:
            self._take_root(exchange, route, service, picker)

    def _take_root(
        self, exchange: Exchange, route: Route, service: str, picker: InstancePicker
    ) -> None:
        """Let a caller's request in, or refuse it before any work is done."""
        elsewhere = _NOBODY
        rule = ""
        rule_decides = False
        if self._rules.revision:
            verdict = self._rule(exchange, route, service, picker)
            rule, route = verdict.rule, verdict.route
            rule_decides = verdict.sets_importance
            if verdict.refusal is not None:
                after = verdict.retry_after or self._settings.retry_after
                self._refusals.refuse(
                    exchange, verdict.refusal, after, route=route.name, rule=rule
                )
                return
            if verdict.data_centre is not None:
                elsewhere = picker.instances_outside(verdict.data_centre)
        if self._departure is not None and not self._departure.accepts(route, picker):
            after = self._settings.retry_after
            self._refusals.refuse(exchange, Reason.LEAVING, after, route=route.name)
            return
        rank = rank_of_request(exchange, route, rule_decides)
        operation = self.operation(route, service)
        blocked = None
        if rank < self._chain.threshold(operation, service):
            blocked = self._blocked(picker, route, service, rank)
        if blocked is None:
            self._refusals.refuse(
                exchange,
                Reason.SHED_EARLY,
                self._return_after(rank),
                route=route.name,
                rank=round(rank, 3),
                thresholds=self.early.thresholds(picker, operation),
                chain=self._chain.thresholds_by_service(operation, service),
            )
            return
        self._forward(
            exchange, route, service, rank, None, picker, blocked, elsewhere, rule
        )

    def _blocked(
        self, picker: InstancePicker, route: Route, service: str, rank: float
    ) -> frozenset[str] | None:
        """Return the instances to leave out for a rank; None if all would shed it."""
        blocked = self.early.shedding_instances(
            picker, self.operation(route, service), rank
        )
        if blocked is None or not len(self._reports):
            return blocked
        shedding = set()
        for state in picker.subset:
            cut, state.impaired_until = self._reports.gate_state(service, state.name)
            if cut <= rank:
                shedding.add(state.name)
        # Each gate may be asked if all shed: it judges for itself.
        return blocked | shedding if len(shedding) < len(picker.subset) else blocked

    def drain(self, departure: DrainPolicy) -> None:
        """Take only what a departing node does.

        Calls of runs at the node's own upstream are taken until the end: those
        runs were begun, and could not end without them.
        """
        self._departure = departure

    def operation(self, route: Route, service: str) -> str:
        """Return the name under which thresholds of a route are kept."""
        key = (route.name, service)
        name = self._operations.get(key)
        if name is None:
            if len(self._operations) > 4 * ThresholdCache.MAX_ENTRIES:
                self._operations.clear()
            name = self._operations[key] = f"{route.name}/{service}"
        return name

    def bury(self, name: str) -> None:
        """Take note that another process answers at a member's address."""
        self._membership.mark_dead(name)

    def suspect(self, name: str) -> None:
        """Take note that no connection to a member could be made."""
        self.counters.events["relay.unreachable"] += 1

    def spawn(self, work: Coroutine) -> None:
        """Run what must wait for something."""
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def finish(
        self,
        exchange: Exchange,
        admitted: Admitted,
        attempted: list[Attempted],
        result: CallResult,
    ) -> None:
        """Give a request its final answer."""
        parent = admitted.parent
        if parent is not None:
            parent.cancels.pop(id(exchange), None)
            self._pass_up(parent, admitted, result)
        outcome, reason = result.outcome, result.reason
        name = admitted.route.name
        self.counters.requests[outcome.label, name, reason.label] += 1
        status = result.status or _status_without_answer(outcome, reason)
        self._journal.on_finished(exchange, admitted, attempted, result, status)
        if result.status:
            exchange.answer(status, result.block, result.body)
        elif outcome is Outcome.NOT_RUN:
            after = self._return_after(admitted.rank)
            if reason is Reason.QUARANTINED:
                after = self.quarantine.seconds_left(exchange.fingerprint)
            self._refusals.answer_not_run(exchange, reason, after)
        else:
            exchange.answer(status, self._refusals.id_line(exchange))

    def close(self) -> None:
        """Stop what waits."""
        for task in self._background:
            task.cancel()

    def _forward(
        self,
        exchange: Exchange,
        route: Route,
        service: str,
        rank: float,
        parent: Job | None,
        picker: InstancePicker,
        blocked: frozenset[str],
        ruled_out: frozenset[str] = _NOBODY,
        rule: str = "",
    ) -> None:
        now = self.clock.now()
        began = now - exchange.waited
        deadline = began + route.timeout - _ANSWER_MARGIN
        if exchange.wait is not None:
            deadline = min(deadline, began + exchange.wait - _ANSWER_MARGIN)
        if parent is not None:
            deadline = min(deadline, parent.deadline)
        admitted = Admitted(
            route,
            service,
            self.operation(route, service),
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
            parent.cancels[id(exchange)] = forwarding.on_caller_left
        forwarding.start()

    def _rule(
        self, exchange: Exchange, route: Route, service: str, picker: InstancePicker
    ) -> Verdict:
        if self._ruler is None:
            from rattanfork_node.relay.rule_decisions import Ruler

            self._ruler = Ruler(self.clock, self._settings.data_centre)
        return self._ruler.rule(
            self._rules.rules,
            route,
            exchange.account,
            service,
            exchange.method.decode("latin-1"),
            exchange.account_name or self._settings.service,
            self.early.shed_share(picker, self.operation(route, service)),
        )

    def _pass_up(self, parent: Job, admitted: Admitted, result: CallResult) -> None:
        operation, picker = admitted.operation, admitted.picker
        own_cut = self.gate.threshold(operation)
        cut = self.early.highest_threshold(picker, operation, self.my_name, own_cut)
        if cut is not None:
            parent.heard_cut = min(parent.heard_cut, cut)
        if result.status < 200 or result.status >= 300:
            parent.failed_calls += 1
        else:
            parent.succeeded_calls += 1

    def _return_after(self, rank: float) -> float:
        return jittered_retry_after(self._settings.retry_after, rank, self._random)


def _status_without_answer(outcome: Outcome, reason: Reason) -> int:
    if outcome is Outcome.NOT_RUN:
        return NOT_RUN_STATUS
    return _TIMEOUT_STATUS if reason is Reason.DEADLINE else _UNKNOWN_STATUS
