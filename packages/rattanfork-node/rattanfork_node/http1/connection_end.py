"""How a client's connection ended, if anything on it was left unfinished."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from rattanfork_node.http1.exchange import Exchange


class CloseReason(StrEnum):
    """Why the connection of a client ended."""

    #: The client closed or reset it, or the network did.
    CLIENT = "client"
    #: The last response said so.
    ANSWERED = "answered"
    #: Its client sent no request for the idle timeout.
    IDLE = "idle"
    #: The node drains.
    LEAVING = "leaving"
    #: The process ends.
    STOPPED = "stopped"
    #: Its client left responses unread.
    SLOW_READER = "slow-reader"
    #: Its responses held the most memory for the longest time.
    EVICTED = "evicted"
    #: There were too many connections.
    DROPPED = "dropped"


class RequestStage(StrEnum):
    """How far an unanswered request had come."""

    #: Its body was being received.
    RECEIVED_IN_PART = "received-in-part"
    #: It was read and not passed on.
    READ = "read"
    #: It was passed on.
    PASSED_ON = "passed-on"
    #: It has a response, which waited for those of earlier requests.
    RESPONSE_READY = "response-ready"

    @classmethod
    def of(cls, exchange: Exchange) -> "RequestStage":
        """Return the stage of a request."""
        if exchange.output is not None:
            return cls.RESPONSE_READY
        if exchange.is_body_pending:
            return cls.RECEIVED_IN_PART
        return cls.READ if exchange.on_give_up is None else cls.PASSED_ON


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request without a whole response at the end of its connection.

    Parameters
    ==========

    request_id : bytes
        Its ID; empty without one.
    stage : RequestStage
        How far it had come.
    """

    request_id: bytes
    stage: RequestStage


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """The end of a client's connection that left something unfinished.

    Parameters
    ==========

    reason : CloseReason
        Why it ended.
    unanswered : sequence of UnansweredRequest
        Requests without a response.
    undelivered : int
        Bytes of responses that the client had not acknowledged.
    unread : int
        Bytes that the node had received and not read.
    """

    reason: CloseReason
    unanswered: Sequence[UnansweredRequest]
    undelivered: int
    unread: int


class ConnectionEndObserver(ABC):
    """Is told how connections of clients ended."""

    @abstractmethod
    def on_unfinished(self, end: ConnectionEnd) -> None:
        """Record the end of a connection that left something unfinished."""


class IgnoredEnds(ConnectionEndObserver):
    """Records nothing."""

    def on_unfinished(self, end: ConnectionEnd) -> None:
        """Do nothing."""
