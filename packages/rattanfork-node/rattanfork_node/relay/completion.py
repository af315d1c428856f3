"""Route path, exit: final responses of forwarded requests."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from rattanfork_core.circuit_breaker import OperationBreakers
from rattanfork_core.gate_status import EarlyShedder
from rattanfork_core.quarantine import Quarantine
from rattanfork_core.request import CallResult, Outcome, Reason, jittered_retry_after

from rattanfork_node.http1 import HeldBody
from rattanfork_node.relay.admitted_request import AdmittedRequest, AttemptRecord
from rattanfork_node.relay.decision_log import DecisionLog
from rattanfork_node.relay.refusals import RefusalResponder
from rattanfork_node.relay.statuses import status_of_response, status_without_response
from rattanfork_node.telemetry import Counters

if TYPE_CHECKING:
    from rattanfork_node.http1 import Exchange
    from rattanfork_node.relay.gate import Gate
    from rattanfork_node.relay.job import Job


class RequestCompletion:
    """Sends the final response of a forwarded request and records its result.

    Parameters
    ==========

    random : Random
        Source of the jitter of Retry-After.
    retry_after : float
        Usual seconds after which a caller may try again.
    own_name : str
        Name of this node in the membership.
    gate : Gate
        The gate of this node's upstream.
    quarantine : Quarantine
        Fingerprints of requests that no upstream may run.
    early_shedder : EarlyShedder
        Thresholds that the gates of called services have announced.
    breakers : OperationBreakers
        Circuit breakers of the operations that callers request.
    counters : Counters
        Counts requests by route, outcome and reason.
    decision_log : DecisionLog
        Records the result of each request.
    refusals : RefusalResponder
        Sends the responses to requests that were not run.
    """

    def __init__(
        self,
        random: Random,
        retry_after: float,
        own_name: str,
        gate: Gate,
        quarantine: Quarantine,
        early_shedder: EarlyShedder,
        breakers: OperationBreakers,
        counters: Counters,
        decision_log: DecisionLog,
        refusals: RefusalResponder,
    ) -> None:
        self._random = random
        self._retry_after = retry_after
        self._own_name = own_name
        self._gate = gate
        self._quarantine = quarantine
        self._early_shedder = early_shedder
        self._breakers = breakers
        self._counters = counters
        self._decision_log = decision_log
        self._refusals = refusals

    def finish(
        self,
        exchange: Exchange,
        admitted: AdmittedRequest,
        attempts: list[AttemptRecord],
        result: CallResult,
    ) -> None:
        """Send the final response to a request."""
        parent = admitted.parent
        if parent is None:
            self._record_in_breaker(admitted.operation, result)
        else:
            parent.call_cancels.pop(id(exchange), None)
            self._report_to_parent(parent, admitted, result)
        outcome, reason = result.outcome, result.reason
        name = admitted.route.name
        self._counters.requests[outcome.label, name, reason.label] += 1
        if result.status:
            status = status_of_response(result.status, admitted.route.idempotent)
        else:
            status = status_without_response(outcome, reason)
        self._decision_log.on_finished(exchange, admitted, attempts, result, status)
        if result.status and status != result.status:
            # The upstream's headers belong to the status that it gave.
            self._counters.events["relay.refusal-status-replaced"] += 1
            exchange.respond(status, self._refusals.request_id_line(exchange))
        elif result.status:
            parts = result.body_parts
            body = result.body if parts is None else HeldBody(parts)
            exchange.respond(status, result.block, body)
        elif outcome is Outcome.NOT_RUN:
            self._counters.events[f"relay.not-run.{result.proof}"] += 1
            retry_after = jittered_retry_after(
                self._retry_after, admitted.rank, self._random
            )
            if reason is Reason.QUARANTINED:
                retry_after = self._quarantine.seconds_left(exchange.fingerprint)
            self._refusals.respond_not_run(exchange, reason, retry_after)
        else:
            exchange.respond(status, self._refusals.request_id_line(exchange))

    def _record_in_breaker(self, operation: str, result: CallResult) -> None:
        """Record whether a caller's request completed or a downstream call failed.

        Other failures say nothing of the services that the operation calls.
        """
        if 200 <= result.status < 300:
            self._breakers.record(operation, completed=True)
        elif result.status >= 500 and result.reason is Reason.NONE:
            self._breakers.record(operation, completed=False)

    def _report_to_parent(
        self, parent: Job, admitted: AdmittedRequest, result: CallResult
    ) -> None:
        operation, picker = admitted.operation, admitted.picker
        own_threshold = self._gate.threshold(operation)
        threshold = self._early_shedder.highest_threshold(
            picker, operation, self._own_name, own_threshold
        )
        if threshold is not None:
            parent.lowest_called_threshold = min(
                parent.lowest_called_threshold, threshold
            )
        if result.status < 200 or result.status >= 300:
            parent.failed_calls += 1
        else:
            parent.succeeded_calls += 1
