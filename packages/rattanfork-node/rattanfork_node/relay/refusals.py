"""Answers to requests that no upstream has run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanfork_core.request import Reason

from rattanfork_node.http1 import Exchange, HeaderNames
from rattanfork_node.relay.client_accounts import ClientAccounts, Refusal
from rattanfork_node.relay.decision_log import DecisionLog
from rattanfork_node.telemetry import Counters

if TYPE_CHECKING:
    from rattanfork_core.routes import Route

#: Status that says that a request did not run and never will.
NOT_RUN_STATUS = 503
_NO_ROUTE_STATUS = 404


class Refusals:
    """Gives requests that have not run their final answers.

    Parameters
    ==========

    names : HeaderNames
        Headers to set.
    counters : Counters
        What happened.
    journal : Journal
        Told what was decided on each request.
    accounts : ClientAccounts
        Told what does not count against quotas.
    """

    def __init__(
        self,
        names: HeaderNames,
        counters: Counters,
        journal: DecisionLog,
        accounts: ClientAccounts,
    ) -> None:
        self._names = names
        self._counters = counters
        self._journal = journal
        self._accounts = accounts

    def refuse(
        self, exchange: Exchange, reason: Reason, after: float, **inputs: object
    ) -> None:
        """Refuse a request before any attempt."""
        self._journal.on_refused(exchange, NOT_RUN_STATUS, reason, after, **inputs)
        self.answer_not_run(exchange, reason, after)

    def refuse_without_route(self, exchange: Exchange) -> None:
        """Refuse a request that no route takes."""
        self._counters.events["relay.no-route"] += 1
        self._journal.on_refused(exchange, _NO_ROUTE_STATUS, Reason.NO_ROUTE)
        exchange.answer(_NO_ROUTE_STATUS, self.id_line(exchange))

    def refuse_account(
        self, exchange: Exchange, route: Route, refusal: Refusal
    ) -> None:
        """Refuse a request for the sake of its key or its account."""
        after = refusal.retry_after
        self._journal.on_refused(
            exchange,
            refusal.status,
            refusal.reason,
            after,
            route=route.name,
            waited_ms=round(exchange.waited * 1000, 1),
        )
        if after:
            self.answer_not_run(exchange, refusal.reason, after, refusal.status)
            return
        self._counters.events[f"relay.refused.{refusal.reason.label}"] += 1
        exchange.answer(refusal.status, self.id_line(exchange))

    def answer_not_run(
        self,
        exchange: Exchange,
        reason: Reason,
        after: float,
        status: int = NOT_RUN_STATUS,
    ) -> None:
        """Answer that a request has not run, and when its caller may come back."""
        self._counters.events[f"relay.refused.{reason.label}"] += 1
        self._accounts.release(exchange)
        line = b"Retry-After: %.2f\r\n" % after
        exchange.answer(status, self.id_line(exchange) + line)

    def id_line(self, exchange: Exchange) -> bytes:
        """Return the header that repeats the ID of a request."""
        if not exchange.request_id:
            return b""
        return self._names.request_id + b": " + exchange.request_id + b"\r\n"
