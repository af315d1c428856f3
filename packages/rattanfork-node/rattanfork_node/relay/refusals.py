"""Route path: responses to requests that were not run."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from rattanfork_core.request import Reason

from rattanfork_node.http1 import Exchange, HeaderNames
from rattanfork_node.relay.client_accounts import ClientAccounts, Refusal
from rattanfork_node.relay.decision_log import DecisionLog
from rattanfork_node.relay.statuses import NOT_RUN_STATUS
from rattanfork_node.telemetry import Counters

if TYPE_CHECKING:
    from rattanfork_core.routes import Route

_NO_ROUTE_STATUS = 404
#: Statuses after which a client may send the same request again.
_RETRYABLE_STATUSES = frozenset((429, NOT_RUN_STATUS))
#: Retry-After of a node that has no configuration yet; it reads one within about a
#: second of its start.
_NOT_READY_RETRY_S = 0.3
#: In the log, the status of a request whose client got no response.
_NO_STATUS = 0


class RefusalResponder:
    """Sends and logs the final responses to requests that have not run.

    Parameters
    ==========

    names : HeaderNames
        Names of response headers.
    counters : Counters
        Counts refusals.
    decision_log : DecisionLog
        Records each refusal.
    accounts : ClientAccounts
        Refunds the quota of requests that have not run.
    """

    def __init__(
        self,
        names: HeaderNames,
        counters: Counters,
        decision_log: DecisionLog,
        accounts: ClientAccounts,
    ) -> None:
        self._names = names
        self._counters = counters
        self._decision_log = decision_log
        self._accounts = accounts

    def refuse(
        self,
        exchange: Exchange,
        reason: Reason,
        retry_after: float,
        status: int = NOT_RUN_STATUS,
        **inputs: object,
    ) -> None:
        """Refuse a request before any attempt; ``inputs`` go to the log."""
        self._decision_log.on_refused(exchange, status, reason, retry_after, **inputs)
        self.respond_not_run(exchange, reason, retry_after, status)

    def record_abandoned(self, exchange: Exchange, route: Route, is_call: bool) -> None:
        """Record an upload whose client disconnected before its body was complete."""
        self._accounts.refund_quota(exchange)
        self._decision_log.on_refused(
            exchange,
            _NO_STATUS,
            Reason.CANCELLED,
            is_call=is_call,
            is_loss=False,
            route=route.name,
        )

    def give_up(self, exchanges: Iterable[Exchange], retry_after: float) -> None:
        """End requests as the node stops; refuse those without any attempt."""
        for exchange in exchanges:
            if exchange.on_give_up is not None:
                exchange.on_give_up()
            elif not exchange.answered:
                self.refuse(exchange, Reason.LEAVING, retry_after)

    def refuse_unready(self, exchange: Exchange, is_call: bool) -> None:
        """Refuse a request, as this node has no configuration yet."""
        self.refuse(exchange, Reason.NOT_READY, _NOT_READY_RETRY_S, is_call=is_call)

    def refuse_without_route(self, exchange: Exchange) -> None:
        """Refuse a request that matches no route."""
        self._counters.events["relay.no-route"] += 1
        self._decision_log.on_refused(exchange, _NO_ROUTE_STATUS, Reason.NO_ROUTE)
        exchange.respond(_NO_ROUTE_STATUS, self.request_id_line(exchange))

    def refuse_account(
        self, exchange: Exchange, route: Route, refusal: Refusal, **inputs: object
    ) -> None:
        """Refuse a request because of its key or the quota of its account.

        Parameters
        ==========

        exchange : Exchange
            The request.
        route : Route
            Its route.
        refusal : Refusal
            The response.
        inputs : object
            Further fields of the log line.
        """
        retry_after = refusal.retry_after
        self._decision_log.on_refused(
            exchange,
            refusal.status,
            refusal.reason,
            retry_after,
            route=route.name,
            waited_ms=round(exchange.account_delay * 1000, 1),
            **inputs,
        )
        if retry_after:
            self.respond_not_run(exchange, refusal.reason, retry_after, refusal.status)
            return
        self._counters.events[f"relay.refused.{refusal.reason.label}"] += 1
        exchange.respond(refusal.status, self.request_id_line(exchange))

    def respond_not_run(
        self,
        exchange: Exchange,
        reason: Reason,
        retry_after: float,
        status: int = NOT_RUN_STATUS,
    ) -> None:
        """Respond that a request has not run, with Retry-After if it may be retried."""
        self._counters.events[f"relay.refused.{reason.label}"] += 1
        self._accounts.refund_quota(exchange)
        line = b""
        if status in _RETRYABLE_STATUSES:
            line = b"Retry-After: %.2f\r\n" % retry_after
        exchange.respond(status, self.request_id_line(exchange) + line)

    def request_id_line(self, exchange: Exchange) -> bytes:
        """Return the header line that echoes the request ID, if there is one."""
        if not exchange.request_id:
            return b""
        return self._names.request_id + b": " + exchange.request_id + b"\r\n"
