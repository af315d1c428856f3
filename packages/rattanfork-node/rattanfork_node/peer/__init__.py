"""Streams between nodes."""

from rattanfork_node.peer.errors import FrameError, LinkLostError
from rattanfork_node.peer.handler import PeerHandler
from rattanfork_node.peer.link import PeerLink
from rattanfork_node.peer.messages import (
    BurnReply,
    BurnRequest,
    Call,
    Cancel,
    Challenge,
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
    SyncReply,
    SyncRequest,
    Welcome,
    decode_message,
    encode_message,
)
from rattanfork_node.peer.pool import PeerPool

__all__ = [
    "BurnReply",
    "BurnRequest",
    "Call",
    "Cancel",
    "Challenge",
    "EpochReply",
    "EpochRequest",
    "Fence",
    "FenceKey",
    "FenceReply",
    "FrameError",
    "Hello",
    "LinkLostError",
    "PeerHandler",
    "PeerLink",
    "PeerPool",
    "Ping",
    "Pong",
    "Reply",
    "RulesReply",
    "RulesRequest",
    "SyncReply",
    "SyncRequest",
    "Welcome",
    "decode_message",
    "encode_message",
]
