"""Route path: logs decisions on requests, records their durations and losses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rattanfork_core.clock import Clock
from rattanfork_core.objectives import RouteObjectives
from rattanfork_core.request import (
    CallResult,
    Outcome,
    Proof,
    Reason,
    format_fingerprint,
)
from rattanfork_core.revision import RevisionState
from rattanfork_core.trace import loss_cause

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.relay.admitted_request import AdmittedRequest, AttemptRecord
from rattanfork_node.telemetry import Counters, RequestLog

if TYPE_CHECKING:
    from rattanfork_core.admission import AdmissionController

    from rattanfork_node.http1 import Exchange
    from rattanfork_node.relay.job import Job


class DecisionLog:
    """Logs this node's decisions on requests and records their durations.

    Explanation
    ===========

    A request has one line at the node where it enters, with its attempts, and one
    line at the gate of each attempt.  A line holds the inputs of the decision with
    their age or version, so that the decision can be explained after the state it
    was based on has changed.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    log : RequestLog
        Destination of the lines.
    counters : Counters
        Destination of durations and losses.
    configuration : ConfigurationHolder
        Its version is part of each request line.
    rules : RevisionState
        Their revision is part of each request line.
    objectives : RouteObjectives or None
        Counts callers' requests against the objectives of their routes.
    """

    def __init__(
        self,
        clock: Clock,
        log: RequestLog,
        counters: Counters,
        configuration: ConfigurationHolder,
        rules: RevisionState,
        objectives: RouteObjectives | None = None,
    ) -> None:
        self._clock = clock
        self._objectives = objectives or RouteObjectives(clock)
        self._log = log
        self._counters = counters
        self._configuration = configuration
        self._rules = rules

    def on_refused(
        self,
        exchange: Exchange,
        status: int,
        reason: Reason,
        retry_after: float = 0.0,
        is_call: bool = False,
        is_loss: bool = True,
        **inputs: object,
    ) -> None:
        """Record a request that was refused here before any attempt."""
        route = inputs.get("route")
        is_loss = is_loss and not is_call
        if route is not None and is_loss:
            self._objectives.add(route, good=False)
        if is_loss:
            self._counters.losses[str(route or "-"), reason.label] += 1
        request_id = exchange.request_id
        if self._log.should_log(request_id, plain=False):
            fields = {
                "fingerprint": (
                    ""
                    if exchange.is_body_pending
                    else format_fingerprint(exchange.fingerprint)
                ),
                "outcome": Outcome.NOT_RUN.label,
                "reason": reason.label,
                "proof": Proof.NO_ATTEMPT,
                "status": status,
                "call": is_call,
                "account": exchange.account_name,
                "retry_after": round(retry_after, 2),
                "host": exchange.host,
                "allowed_ms": _milliseconds(exchange.client_timeout),
                **self._versions(),
                **_fair_share(exchange),
                **inputs,
            }
            if exchange.upload is not None:
                fields["upload"] = exchange.upload.log_fields
            self._log.write("request", request_id, fields)

    def on_finished(
        self,
        exchange: Exchange,
        admitted: AdmittedRequest,
        attempts: list[AttemptRecord],
        result: CallResult,
        status: int,
    ) -> None:
        """Record a request with its final response status and its attempts."""
        seconds = self._clock.now() - admitted.began
        route = admitted.route
        outcome = result.outcome.label
        self._counters.durations.add((route.name, outcome), seconds)
        late = seconds > route.target_latency
        good = 200 <= status < 300 and not late
        if admitted.parent is None:
            if result.reason is not Reason.CANCELLED:
                self._objectives.add(route.name, good)
            if not good:
                cause = loss_cause(status, result.reason.label, late)
                self._counters.losses[route.name, cause] += 1
        plain = good and len(attempts) == 1
        if not self._log.should_log(exchange.request_id, plain):
            return
        fields = {
            "route": route.name,
            "service": admitted.service,
            "fingerprint": format_fingerprint(exchange.fingerprint),
            "outcome": outcome,
            "reason": result.reason.label,
            "proof": result.proof,
            "status": status,
            "call": admitted.parent is not None,
            "account": exchange.account_name,
            "objective_ms": _milliseconds(route.target_latency),
            "ms": _milliseconds(seconds),
            "allowed_ms": _milliseconds(admitted.deadline - admitted.began),
            "rank": round(admitted.rank, 3),
            "rule": admitted.rule,
            **self._versions(),
            **_fair_share(exchange),
            "tries": [
                {"to": a.member, "reason": a.reason.label, "status": a.status}
                | {"ms": _milliseconds(a.seconds)}
                for a in attempts
            ],
        }
        if exchange.upload is not None:
            fields["upload"] = exchange.upload.log_fields
        self._log.write("request", exchange.request_id, fields)

    def on_run(
        self,
        job: Job,
        result: CallResult,
        admission: AdmissionController,
        upstream: str,
    ) -> None:
        """Record the result of a request at this node's gate."""
        now = self._clock.now()
        waiter = job.waiter
        outcome = result.outcome.label
        ran = now - waiter.started if waiter is not None and job.handed_over else None
        if ran is not None:
            self._counters.runs.add((job.operation, outcome), ran)
        plain = result.outcome is Outcome.ANSWERED and result.status < 400
        if not self._log.should_log(job.request_id, plain):
            return
        queued = 0.0
        if waiter is not None:
            queued = (waiter.started if job.handed_over else now) - waiter.arrived
        fields: dict[str, Any] = {
            "operation": job.operation,
            "origin": job.origin,
            "fingerprint": format_fingerprint(job.fingerprint),
            "outcome": outcome,
            "reason": result.reason.label,
            "status": result.status,
            "queued_ms": _milliseconds(queued),
            "run_ms": _milliseconds(ran),
            "left_ms": _milliseconds(job.deadline - now),
            "rank": round(job.rank, 3),
            "repeated": job.is_repeat,
            "running": admission.running,
            "waiting": admission.waiting,
            "slots": admission.limit.current,
            "cut": round(admission.threshold, 3),
            "upstream": upstream,
            "failed_calls": job.failed_calls,
        }
        if job.retry is not None:
            fields["retry"] = job.retry.as_log_field()
        if job.connection is not None:
            fields |= _exchange_with_upstream(job)
        if admission.rate_limit.value is not None:
            fields["rate_limit"] = admission.rate_limit.value
        self._log.write("run", job.request_id, fields)

    def _versions(self) -> dict[str, int]:
        return {
            "configuration": self._configuration.version,
            "revision": self._rules.revision,
        }


def _exchange_with_upstream(job: Job) -> dict[str, object]:
    """Return the fields on the connection and the response of an attempt.

    The outcome alone does not show which response it was derived from.
    """
    connection, response = job.connection, job.response
    fields: dict[str, object] = {
        "connection": connection.number,
        "connection_uses": connection.uses,
        # How long it had been idle before the run; 0 for a new connection.
        "connection_idle_ms": _milliseconds(connection.idle_before),
    }
    if connection.dropped:
        fields["dropped_responses"] = connection.dropped
    if response is not None:
        fields["response_status"] = response.status
        fields["response_identified"] = response.is_identified
    return fields


def _fair_share(exchange: Exchange) -> dict[str, object]:
    """Return the field about a fair rank; none if the rank is that of the hash."""
    fair = exchange.fair_share
    return {} if fair is None else {"fair_share": fair.as_log_field()}


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
