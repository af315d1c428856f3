"""Peer requests that every node answers, on either request path."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from rattanfork_core.idempotency import ConnectionCallLog
from rattanfork_core.request import FenceVerdict

from rattanfork_node.peer.errors import FrameError
from rattanfork_node.peer.handler import PeerHandler
from rattanfork_node.peer.messages import (
    Fence,
    RulesRequest,
    SyncReply,
    SyncRequest,
)
from rattanfork_node.peer.rules import rules_reply
from rattanfork_node.telemetry.log import log_change
from rattanfork_node.telemetry.unexpected_errors import UnexpectedErrors

if TYPE_CHECKING:
    from rattanfork_core.revision import RevisionState

    from rattanfork_node.member import GossipTask
    from rattanfork_node.peer.link import PeerLink
    from rattanfork_node.telemetry import Counters

#: Maximum call logs kept, those of closed connections included.
_MAX_CALL_LOGS = 2000


class BasePeerHandler(PeerHandler):
    """Keeps a call log per connection; answers requests for rules and members.

    Explanation
    ===========

    The call log lists the requests of a connection that were handed to the upstream.
    It is kept after the connection is closed, because the peer sends fences for its
    lost requests over a new connection.

    Parameters
    ==========

    rules : RevisionState
        The rules in force.
    counters : Counters
        Counts rejected frames.
    """

    def __init__(self, rules: RevisionState, counters: Counters) -> None:
        self._rules = rules
        self._errors = UnexpectedErrors(counters.events)
        self._counters = counters
        self._call_logs: OrderedDict[str, ConnectionCallLog] = OrderedDict()
        self._links: set[PeerLink] = set()
        self._gossip_task: GossipTask | None = None

    def set_gossip_task(self, gossip_task: GossipTask) -> None:
        """Set the gossip task, which is created after this handler."""
        self._gossip_task = gossip_task

    @property
    def links(self) -> set[PeerLink]:
        """Accepted connections that are open."""
        return self._links

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the peers of accepted connections have not read yet."""
        return sum(link.unsent_bytes for link in self._links)

    @property
    def waiting_replies(self) -> int:
        """Number of replies whose bodies the peers have not asked for in full."""
        return sum(link.waiting_bodies for link in self._links)

    @property
    def undelivered_bytes(self) -> int:
        """Bytes that the peers of accepted connections have not acknowledged."""
        return sum(link.undelivered_bytes for link in self._links)

    def finish_links(self) -> None:
        """End the sending side of all accepted connections."""
        for link in list(self._links):
            link.finish()

    def on_open(self, link: PeerLink) -> None:
        """Register an authenticated connection and create its call log."""
        if link.connection_id in self._call_logs:
            raise FrameError("connection ID was already used by another connection")
        self._links.add(link)
        self._call_logs[link.connection_id] = ConnectionCallLog()
        if len(self._call_logs) > _MAX_CALL_LOGS:
            # A fence for an evicted connection is answered "unknown", never
            # "not run".
            self._call_logs.popitem(last=False)

    def on_rules(self, link: PeerLink, request: RulesRequest) -> None:
        """Reply with the cached rules."""
        link.send(rules_reply(self._rules, request))

    def on_sync(self, link: PeerLink, request: SyncRequest) -> None:
        """Reply with the member records that differ from the digest."""
        members = self._gossip_task.differing_records(request)
        link.send(SyncReply(request.number, members))

    def on_closed(self, link: PeerLink) -> None:
        """Remove a closed connection; its call log is kept."""
        self._links.discard(link)

    def on_unfinished(
        self, link: PeerLink, reason: str, runs: int, unsent: int
    ) -> None:
        """Count and log a lost connection with unanswered runs or unsent messages."""
        self._counters.events["links.lost.runs"] += runs
        self._counters.events["links.lost.unsent"] += unsent > 0
        log_change("link_lost", peer=link.peer, reason=reason, runs=runs, unsent=unsent)

    def on_error(self, link: PeerLink, error: Exception) -> None:
        """Record an exception that the handling of a message raised."""
        self._errors.report("link", error)

    def on_bad_frame(self, reason: str) -> None:
        """Count a rejected frame."""
        self._counters.events["peer.bad-frame"] += 1

    def register_request(self, link: PeerLink, number: int) -> ConnectionCallLog:
        """Record the arrival of a request, and return its connection's call log.

        Raises
        ======

        FrameError
            If the number was used before on this connection.
        """
        call_log = self._call_logs.get(link.connection_id)
        if call_log is None or not call_log.accept(number):
            raise FrameError("request number was already used on this connection")
        return call_log

    def fence_connection(self, fence: Fence) -> list[FenceVerdict]:
        """Fence a connection; return verdicts on the requests that are listed."""
        call_log = self._call_logs.get(fence.connection_id)
        if call_log is None:
            return [FenceVerdict.UNKNOWN] * len(fence.calls)
        return call_log.fence(fence.calls)
