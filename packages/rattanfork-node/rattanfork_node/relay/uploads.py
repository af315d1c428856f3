"""Route path: requests whose bodies are read after the decision on their heads."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from rattanfork_core.clock import Clock
from rattanfork_core.quarantine import Quarantine
from rattanfork_core.request import Reason
from rattanfork_core.revision import RevisionState

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.relay.client_accounts import ClientAccounts
from rattanfork_node.relay.deadlines import deadline_of
from rattanfork_node.relay.gate import Gate
from rattanfork_node.relay.refusals import NOT_RUN_STATUS, RefusalResponder

if TYPE_CHECKING:
    from rattanfork_core.routes import Route

    from rattanfork_node.http1 import Exchange
    from rattanfork_node.relay.job import Job

#: Statuses of uploads whose bodies can't be read; 503 for other reasons.
_STATUSES = {
    Reason.TOO_LARGE: 413,
    Reason.BODY_TIMEOUT: 408,
    Reason.BODY_INCOMPLETE: 400,
}


class UploadReader:
    """Takes over uploads from their heads and reads the bodies of accepted ones.

    Explanation
    ===========

    What is decided from the head is decided by the relay, as for other requests.  The
    quarantine is the exception: fingerprints cover the body, so it is checked once
    the body is there.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    configuration : ConfigurationHolder
        The configuration in force, with the routes.
    rules : RevisionState
        The operators' ordered rules.
    gate : Gate
        Gate of this node's upstream; knows the runs that make calls.
    quarantine : Quarantine
        Fingerprints of requests that no upstream may run.
    accounts : ClientAccounts
        Authenticates callers; passes accepted requests to the relay.
    refusals : RefusalResponder
        Sends the responses of refused uploads.
    retry_after : float
        Retry-After of uploads for which there was no room, in seconds.
    """

    def __init__(
        self,
        clock: Clock,
        configuration: ConfigurationHolder,
        rules: RevisionState,
        gate: Gate,
        quarantine: Quarantine,
        accounts: ClientAccounts,
        refusals: RefusalResponder,
        retry_after: float,
    ) -> None:
        self._clock = clock
        self._configuration = configuration
        self._rules = rules
        self._gate = gate
        self._quarantine = quarantine
        self._accounts = accounts
        self._refusals = refusals
        self._retry_after = retry_after

    def on_head(self, exchange: Exchange) -> bool:
        """Take over a request whose body is counted, or whose route is one of uploads.

        Returns
        =======

        bool
            Whether the request was taken over.  One that may be an upload is not before
            this node has a configuration, as the kind of the route is unknown then.
        """
        is_counted = exchange.upload.is_counted
        configuration = self._configuration.current
        is_call = self._gate.parent_of(exchange.request_id) is not None
        if configuration is None or not self._rules.ready:
            if is_counted:
                self._refusals.refuse_unready(exchange, is_call)
            return is_counted
        route = configuration.table.find(exchange.host, exchange.path)
        if route is None:
            if is_counted:
                self._refusals.refuse_without_route(exchange)
            return is_counted
        if not route.upload and not is_counted:
            return False
        exchange.upload.on_refused = partial(self._refuse, exchange, route, is_call)
        exchange.on_disconnect = partial(
            self._refusals.record_abandoned, exchange, route, is_call
        )
        if configuration.accounts is None or is_call:
            self._accounts.accept(exchange, route)
        else:
            self._accounts.admit(exchange, route, configuration.accounts)
        return True

    def read(
        self,
        exchange: Exchange,
        route: Route,
        parent: Job | None,
        resume: Callable[[], None],
    ) -> None:
        """Read the body of an accepted upload.

        Parameters
        ==========

        exchange : Exchange
            The request.
        route : Route
            Its route, after rules were applied.
        parent : Job or None
            The run at this node's upstream that made the request.
        resume : callable
            Called once the body is complete and not quarantined.
        """
        is_call = parent is not None
        upload = exchange.upload
        upload.on_refused = partial(self._refuse, exchange, route, is_call)
        if is_call:
            parent.call_cancels[id(exchange)] = partial(upload.refuse, Reason.CANCELLED)

        def on_complete() -> None:
            if is_call:
                parent.call_cancels.pop(id(exchange), None)
            if not self._refuse_quarantined(exchange, route, is_call):
                resume()

        deadline = deadline_of(exchange, route, parent, upload.began_at)
        upload.read(deadline - self._clock.now(), on_complete)

    def _refuse_quarantined(
        self, exchange: Exchange, route: Route, is_call: bool
    ) -> bool:
        """Refuse a quarantined request; return whether it was one."""
        quarantine = self._quarantine
        if not (quarantine.active and quarantine.contains(exchange.fingerprint)):
            return False
        self._refusals.refuse(
            exchange,
            Reason.QUARANTINED,
            quarantine.seconds_left(exchange.fingerprint),
            is_call=is_call,
            route=route.name,
        )
        return True

    def _refuse(
        self, exchange: Exchange, route: Route, is_call: bool, reason: Reason
    ) -> None:
        status = _STATUSES.get(reason, NOT_RUN_STATUS)
        retry_after = self._retry_after if status == NOT_RUN_STATUS else 0.0
        self._refusals.refuse(
            exchange,
            reason,
            retry_after,
            status=status,
            is_call=is_call,
            route=route.name,
        )
