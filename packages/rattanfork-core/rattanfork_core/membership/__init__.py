"""Gossip membership (SWIM): the nodes that a request can be forwarded to."""

from rattanfork_core.membership.anti_entropy import BucketDigest
from rattanfork_core.membership.cached_versions import UNKNOWN_AGE_MS, CachedVersions
from rattanfork_core.membership.direct_messages import (
    DirectMessage,
    LeaseReply,
    LeaseRequest,
    QuotaReply,
    QuotaRequest,
)
from rattanfork_core.membership.member import Member, MemberStatus
from rattanfork_core.membership.membership import Membership
from rattanfork_core.membership.messages import (
    Ack,
    CrashUpdate,
    GateUpdate,
    GossipMessage,
    GossipUpdate,
    Ping,
    PingRequest,
    RetirementUpdate,
    Send,
    decode_gossip,
    encode_gossip,
)
from rattanfork_core.membership.role_assignment import RoleAssignment
from rattanfork_core.membership.roles import holds_role, role_holders
from rattanfork_core.membership.settings import MembershipSettings
from rattanfork_core.membership.sync_schedule import SyncSchedule
from rattanfork_core.membership.update_queue import UpdateQueue

__all__ = [
    "Ack",
    "BucketDigest",
    "CrashUpdate",
    "DirectMessage",
    "RoleAssignment",
    "GossipMessage",
    "GossipUpdate",
    "CachedVersions",
    "LeaseReply",
    "LeaseRequest",
    "Member",
    "MemberStatus",
    "Membership",
    "MembershipSettings",
    "UNKNOWN_AGE_MS",
    "Ping",
    "PingRequest",
    "QuotaReply",
    "QuotaRequest",
    "RetirementUpdate",
    "UpdateQueue",
    "Send",
    "SyncSchedule",
    "GateUpdate",
    "decode_gossip",
    "role_holders",
    "encode_gossip",
    "holds_role",
]
