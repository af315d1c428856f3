"""Connections between nodes: framing, handshake, requests and replies.

Both request paths use them: ``Call`` carries a request of the call path (packages
edge, call_ingress and call_gate), ``Run`` one of the route path (package relay).
"""

from rattanfork_node.peer.base_handler import BasePeerHandler
from rattanfork_node.peer.body_messages import BodyCredit, BodyPart, BodyStart
from rattanfork_node.peer.errors import FrameError, LinkLostError
from rattanfork_node.peer.handler import PeerHandler
from rattanfork_node.peer.link import PeerLink
from rattanfork_node.peer.messages import (
    BODY_PARTS_LEVEL,
    MAX_UNPAUSED_BYTES,
    REPLY_PARTS_LEVEL,
    BurnReply,
    BurnRequest,
    Call,
    Cancel,
    Challenge,
    ConfigurationReply,
    ConfigurationRequest,
    EpochReply,
    EpochRequest,
    Fence,
    FenceKey,
    FenceReply,
    Hello,
    Ping,
    Pong,
    Reply,
    RulesReply,
    RulesRequest,
    Run,
    RunReply,
    SyncReply,
    SyncRequest,
    Welcome,
    decode_message,
    encode_message,
)
from rattanfork_node.peer.pending_handshakes import PendingHandshakes
from rattanfork_node.peer.pending_replies import LateReply
from rattanfork_node.peer.pool import PeerPool
from rattanfork_node.peer.retirement_messages import (
    PersistReply,
    PersistRequest,
    RetirementsReply,
    RetirementsRequest,
)
from rattanfork_node.peer.rules import rules_reply

__all__ = [
    "BODY_PARTS_LEVEL",
    "MAX_UNPAUSED_BYTES",
    "BodyCredit",
    "BodyPart",
    "BodyStart",
    "BurnReply",
    "BurnRequest",
    "Call",
    "Cancel",
    "Challenge",
    "ConfigurationReply",
    "ConfigurationRequest",
    "EpochReply",
    "EpochRequest",
    "Fence",
    "FenceKey",
    "FenceReply",
    "FrameError",
    "Hello",
    "BasePeerHandler",
    "LateReply",
    "LinkLostError",
    "PeerHandler",
    "PeerLink",
    "PeerPool",
    "PendingHandshakes",
    "PersistReply",
    "PersistRequest",
    "Ping",
    "Pong",
    "Reply",
    "RetirementsReply",
    "RetirementsRequest",
    "RulesReply",
    "RulesRequest",
    "Run",
    "REPLY_PARTS_LEVEL",
    "RunReply",
    "SyncReply",
    "SyncRequest",
    "Welcome",
    "decode_message",
    "encode_message",
    "rules_reply",
]
