"""Interface of the handler for requests from other nodes."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from rattanfork_node.peer.body_messages import BodyPart, BodyStart
from rattanfork_node.peer.errors import FrameError
from rattanfork_node.peer.messages import (
    BurnRequest,
    Call,
    ConfigurationRequest,
    EpochRequest,
    Fence,
    FenceKey,
    RulesRequest,
    Run,
    SyncRequest,
)
from rattanfork_node.peer.retirement_messages import (
    PersistRequest,
    RetirementsRequest,
)

if TYPE_CHECKING:
    from rattanfork_node.peer.link import PeerLink


class PeerHandler(ABC):
    """Handles the requests and events of accepted connections."""

    @abstractmethod
    def on_open(self, link: "PeerLink") -> None:
        """Register a connection that completed the handshake."""

    @abstractmethod
    def on_call(self, link: "PeerLink", call: Call) -> None:
        """Run a request of the call path and send the reply on the link."""

    def on_run(self, link: "PeerLink", run: Run) -> None:
        """Run a request of the route path and send the reply on the link."""
        raise FrameError("this node does not serve runs")

    def on_configuration(self, link: "PeerLink", request: ConfigurationRequest) -> None:
        """Reply with the cached configuration."""
        raise FrameError("this node does not serve configurations")

    def on_retirements(self, link: "PeerLink", request: RetirementsRequest) -> None:
        """Reply with the known retirements of upstreams."""
        raise FrameError("this node does not keep retirements")

    def on_persist(self, link: "PeerLink", request: PersistRequest) -> None:
        """Write a retirement to the store and reply with the result."""
        raise FrameError("this node does not keep retirements")

    def on_body_start(self, link: "PeerLink", start: BodyStart) -> None:
        """Expect a body in parts."""
        raise FrameError("this node does not serve runs")

    def on_body_part(self, link: "PeerLink", part: BodyPart) -> None:
        """Receive a part of a body."""
        raise FrameError("this node does not serve runs")

    @abstractmethod
    def on_cancel(self, link: "PeerLink", number: int) -> None:
        """Cancel the call or run with this number."""

    @abstractmethod
    def on_fence(self, link: "PeerLink", fence: Fence | FenceKey) -> None:
        """Fence the connection or key, and reply with the verdicts."""

    @abstractmethod
    def on_rules(self, link: "PeerLink", request: RulesRequest) -> None:
        """Reply with the cached rules."""

    @abstractmethod
    def on_sync(self, link: "PeerLink", request: SyncRequest) -> None:
        """Reply with the member records that differ from the digest."""

    @abstractmethod
    def on_burn(self, link: "PeerLink", request: BurnRequest) -> None:
        """Reply with this node's totals for the burn report."""

    @abstractmethod
    def on_epoch(self, link: "PeerLink", request: EpochRequest) -> None:
        """Reply with the call gate's current key epoch."""

    @abstractmethod
    def on_closed(self, link: "PeerLink") -> None:
        """Remove a connection that was closed."""

    @abstractmethod
    def on_unfinished(
        self, link: "PeerLink", reason: str, runs: int, unsent: int
    ) -> None:
        """Record a lost connection with unanswered runs or unsent messages.

        Parameters
        ==========

        link : PeerLink
            The connection, of either side.
        reason : str
            Why it was lost.
        runs : int
            Runs of this node without a reply.
        unsent : int
            Bytes of messages and bodies that the peer does not get.
        """

    @abstractmethod
    def on_error(self, link: "PeerLink", error: Exception) -> None:
        """Record an exception that the handling of a message raised."""

    @abstractmethod
    def on_bad_frame(self, reason: str) -> None:
        """Count a rejected frame."""
