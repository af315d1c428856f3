"""What a node does with messages from other nodes."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

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

if TYPE_CHECKING:
    from rattanfork_node.peer.link import PeerLink


class PeerHandler(ABC):
    """Takes the requests that arrive on accepted connections."""

    @abstractmethod
    def on_open(self, link: "PeerLink") -> None:
        """Take note of an authenticated connection."""

    @abstractmethod
    def on_call(self, link: "PeerLink", call: Call) -> None:
        """Run a call and reply on the link."""

    def on_run(self, link: "PeerLink", run: Run) -> None:
        """Run a request and reply on the link."""
        raise FrameError("runs are not served here")

    def on_configuration(self, link: "PeerLink", request: ConfigurationRequest) -> None:
        """Reply with the configuration held."""
        raise FrameError("no configuration is held here")

    @abstractmethod
    def on_cancel(self, link: "PeerLink", number: int) -> None:
        """Stop a call."""

    @abstractmethod
    def on_fence(self, link: "PeerLink", fence: Fence | FenceKey) -> None:
        """Fence and reply."""

    @abstractmethod
    def on_rules(self, link: "PeerLink", request: RulesRequest) -> None:
        """Reply with the rules held."""

    @abstractmethod
    def on_sync(self, link: "PeerLink", request: SyncRequest) -> None:
        """Reply with the records that differ."""

    @abstractmethod
    def on_burn(self, link: "PeerLink", request: BurnRequest) -> None:
        """Reply with this node's totals."""

    @abstractmethod
    def on_epoch(self, link: "PeerLink", request: EpochRequest) -> None:
        """Reply with the guard's epoch of keys."""

    @abstractmethod
    def on_closed(self, link: "PeerLink") -> None:
        """Take note that a connection is gone."""

    @abstractmethod
    def on_bad_frame(self, reason: str) -> None:
        """Count a frame that was refused."""
