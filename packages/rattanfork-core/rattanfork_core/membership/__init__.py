"""Who is there: announcements, probes, suspicion and leaving."""

from rattanfork_core.membership.anti_entropy import BucketDigest
from rattanfork_core.membership.duty import duty_group, on_duty
from rattanfork_core.membership.held import NEVER, HeldVersions
from rattanfork_core.membership.member import Member, MemberStatus
from rattanfork_core.membership.membership import Membership
from rattanfork_core.membership.messages import (
    Ack,
    CrashUpdate,
    GateNews,
    GossipMessage,
    GossipUpdate,
    Ping,
    PingRequest,
    Send,
    decode_gossip,
    encode_gossip,
)
from rattanfork_core.membership.requests import (
    DirectMessage,
    LeaseReply,
    LeaseRequest,
    QuotaReply,
    QuotaRequest,
)
from rattanfork_core.membership.roster import DutyRoster
from rattanfork_core.membership.rumours import RumourQueue
from rattanfork_core.membership.settings import MembershipSettings
from rattanfork_core.membership.sync_schedule import SyncSchedule

__all__ = [
    "Ack",
    "BucketDigest",
    "CrashUpdate",
    "DirectMessage",
    "DutyRoster",
    "GossipMessage",
    "GossipUpdate",
    "HeldVersions",
    "LeaseReply",
    "LeaseRequest",
    "Member",
    "MemberStatus",
    "Membership",
    "MembershipSettings",
    "NEVER",
    "Ping",
    "PingRequest",
    "QuotaReply",
    "QuotaRequest",
    "RumourQueue",
    "Send",
    "SyncSchedule",
    "GateNews",
    "decode_gossip",
    "duty_group",
    "encode_gossip",
    "on_duty",
]
