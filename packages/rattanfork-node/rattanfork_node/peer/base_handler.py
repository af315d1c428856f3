"""What every node answers its peers, whatever it serves them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from rattanfork_core.atmostonce import ConnectionLedger
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

if TYPE_CHECKING:
    from rattanfork_core.revision import RevisionState

    from rattanfork_node.member import GossipTask
    from rattanfork_node.peer.link import PeerLink
    from rattanfork_node.telemetry import Counters

#: Connections whose requests are remembered after they are closed.
_MOST_LEDGERS = 2000


class BasePeerHandler(PeerHandler):
    """Keeps a ledger for each connection, and answers of rules and members.

    Parameters
    ==========

    rules : RevisionState
        The rules in force.
    counters : Counters
        What happened.
    """

    def __init__(self, rules: RevisionState, counters: Counters) -> None:
        self._rules = rules
        self._counters = counters
        self._ledgers: OrderedDict[str, ConnectionLedger] = OrderedDict()
        self._links: set[PeerLink] = set()
        self._member: GossipTask | None = None

    def set_gossip_task(self, member: GossipTask) -> None:
        """Take the member task, which is made after this."""
        self._member = member

    @property
    def links(self) -> set[PeerLink]:
        """Accepted connections."""
        return self._links

    def on_open(self, link: PeerLink) -> None:
        """Take note of an authenticated connection."""
        if link.connection_id in self._ledgers:
            raise FrameError("the connection's name is taken")
        self._links.add(link)
        self._ledgers[link.connection_id] = ConnectionLedger()
        if len(self._ledgers) > _MOST_LEDGERS:
            # A fence for a connection that is forgotten is answered
            # "unknown", never "not run".
            self._ledgers.popitem(last=False)

    def on_rules(self, link: PeerLink, request: RulesRequest) -> None:
        """Reply with the rules held."""
        link.send(rules_reply(self._rules, request))

    def on_sync(self, link: PeerLink, request: SyncRequest) -> None:
        """Reply with the records that differ."""
        members = self._member.differing_records(request)
        link.send(SyncReply(request.number, members))

    def on_closed(self, link: PeerLink) -> None:
        """Take note that a connection is gone."""
        self._links.discard(link)

    def on_bad_frame(self, reason: str) -> None:
        """Count a frame that was refused."""
        self._counters.events["peer.bad-frame"] += 1

    def register_request(self, link: PeerLink, number: int) -> ConnectionLedger:
        """Return the ledger in which a request has just arrived.

        Raises
        ======

        FrameError
            If the request's number was taken before.
        """
        ledger = self._ledgers.get(link.connection_id)
        if ledger is None or not ledger.arrive(number):
            raise FrameError("a request's number is taken")
        return ledger

    def fence_connection(self, fence: Fence) -> list[FenceVerdict]:
        """Refuse a connection's requests from now on; judge some of them."""
        ledger = self._ledgers.get(fence.connection)
        if ledger is None:
            return [FenceVerdict.UNKNOWN] * len(fence.calls)
        return ledger.fence(fence.calls)
