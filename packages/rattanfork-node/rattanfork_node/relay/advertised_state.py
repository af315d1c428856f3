"""Route path: what the upstream beside a node advertises in its responses."""

from collections.abc import Callable
from math import inf
from typing import TypeVar

from rattanfork_core.advertised import (
    AdvertisedRateLimit,
    UpstreamReport,
    parse_leaving,
    parse_rate_limit,
)
from rattanfork_core.advertised.report import NO_LIMIT
from rattanfork_core.clock import Clock

from rattanfork_node.http1 import HeaderNames, UpstreamResponse
from rattanfork_node.relay.upstream import Upstream
from rattanfork_node.telemetry import Counters, log_change

_Value = TypeVar("_Value")

#: Seconds between two log lines on changed limits, and on malformed values.
_LOG_INTERVAL_S = 5.0


def _ignore(upstream: Upstream) -> None:
    """Do nothing."""


class AdvertisedState:
    """Applies what one incarnation of the upstream advertises.

    Explanation
    ===========

    The response whose head arrived last is the newest statement: responses on several
    connections complete in another order than they were sent.  A rate limit holds
    until a response without one; leaving is final for an incarnation.

    A restarted node knows neither.  Each request from a node that does carries its
    report, which is used until the upstream itself has responded.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    names : HeaderNames
        Names of response headers.
    rate_limit : AdvertisedRateLimit
        The limit that admission control keeps.
    counters : Counters
        Counts malformed values.
    """

    def __init__(
        self,
        clock: Clock,
        names: HeaderNames,
        rate_limit: AdvertisedRateLimit,
        counters: Counters,
    ) -> None:
        self._clock = clock
        self._limit_name = names.rate_limit.lower()
        self._leaving_name = names.leaving.lower()
        self._rate_limit = rate_limit
        self._counters = counters
        self._upstream: Upstream | None = None
        #: The incarnation that has stated that it leaves.
        self._leaving: Upstream | None = None
        #: When the head of the newest response arrived; None before the first.
        self._stated_at: float | None = None
        self._next_change_line = -inf
        self._next_error_line = -inf
        #: Called when the upstream has stated that it leaves.
        self.on_leaving: Callable[[Upstream], None] = _ignore

    @property
    def header_names(self) -> frozenset[bytes]:
        """Lower-case names of the response headers that this reads."""
        return frozenset((self._limit_name, self._leaving_name))

    @property
    def leaving(self) -> bool:
        """Whether the upstream has stated that it leaves."""
        return self._leaving is not None

    def reset(self, upstream: Upstream) -> None:
        """Forget what the previous incarnation advertised."""
        if self._rate_limit.value is not None:
            log_change("upstream_limit_ended", why="replaced", upstream=upstream.name)
        self._rate_limit.clear()
        self._upstream = upstream
        self._leaving = None
        self._stated_at = None

    def update_upstream(self, upstream: Upstream) -> None:
        """Store an announcement, which may be the first to state the start time."""
        if self._leaving is not None and not upstream.is_same_incarnation(
            self._leaving
        ):
            self._leaving = None
        self._upstream = upstream

    def on_response(self, response: UpstreamResponse) -> None:
        """Apply the headers of a response of the current incarnation."""
        headers = response.headers
        if self._leaving_name in headers:
            leaving = self._parse(headers, self._leaving_name, parse_leaving)
            if leaving:
                self._leave("response", self._upstream.born)
        if self._stated_at is not None and response.received_at < self._stated_at:
            return
        self._stated_at = response.received_at
        if self._limit_name not in headers:
            if self._rate_limit.value is not None:
                self._lift(self._rate_limit.value)
            return
        limit = self._parse(headers, self._limit_name, parse_rate_limit)
        if limit is not None:
            self._set(limit, "response")

    def on_report(self, report: UpstreamReport, peer: str) -> None:
        """Apply a peer's report, if it is about the current incarnation."""
        upstream = self._upstream
        if upstream is None or not report.is_about(upstream.name, upstream.born):
            return
        if report.leaving:
            self._leave(peer, upstream.born or report.born)
        if report.rate_limit >= 0 and self._stated_at is None:
            self._set(report.rate_limit, peer)

    def report(self) -> UpstreamReport | None:
        """Return the report on the upstream; None if it advertises nothing."""
        limit = self._rate_limit.value
        leaving = self._leaving is not None
        if self._upstream is None or (limit is None and not leaving):
            return None
        return UpstreamReport(
            self._upstream.name,
            self._upstream.born,
            NO_LIMIT if limit is None else limit,
            leaving,
        )

    def _leave(self, source: str, born: int) -> None:
        if self._leaving is not None:
            return
        self._leaving = self._upstream._replace(born=born)
        log_change("upstream_leaving", upstream=self._upstream.name, source=source)
        self.on_leaving(self._leaving)

    def _set(self, limit: float, source: str) -> None:
        known = self._rate_limit.value
        self._rate_limit.set(limit)
        if known == limit:
            return
        now = self._clock.now()
        if known is not None and now < self._next_change_line:
            return
        self._next_change_line = now + _LOG_INTERVAL_S
        log_change(
            "upstream_limit",
            upstream=self._upstream.name,
            per_second=limit,
            before=known,
            source=source,
        )

    def _lift(self, limit: float) -> None:
        self._rate_limit.lift()
        now = self._clock.now()
        if now >= self._next_change_line:
            self._next_change_line = now + _LOG_INTERVAL_S
            log_change(
                "upstream_limit_ended",
                why="response",
                upstream=self._upstream.name,
                before=limit,
            )

    def _parse(
        self,
        headers: dict[bytes, bytes],
        name: bytes,
        parse: Callable[[bytes], _Value],
    ) -> _Value | None:
        try:
            return parse(headers[name])
        except ValueError as error:
            self._counters.events["upstream.malformed-header"] += 1
            now = self._clock.now()
            if now >= self._next_error_line:
                self._next_error_line = now + _LOG_INTERVAL_S
                log_change(
                    "upstream_header_malformed",
                    upstream=self._upstream.name,
                    header=name.decode(),
                    error=str(error),
                )
            return None
