"""Quotas of client accounts: distributed rate limits over all nodes."""

from rattanfork_core.quota.bound import QuotaBound
from rattanfork_core.quota.bucket import TokenBucket
from rattanfork_core.quota.equal_split import EqualSplitQuota
from rattanfork_core.quota.issuer import Grant, TokenIssuer
from rattanfork_core.quota.leases import TokenLeases, TokenRequest
from rattanfork_core.quota.quota import Quota, QuotaDecision
from rattanfork_core.quota.windowed_maximum import WindowedMaximum

__all__ = [
    "EqualSplitQuota",
    "Grant",
    "Quota",
    "QuotaBound",
    "QuotaDecision",
    "TokenBucket",
    "TokenIssuer",
    "TokenLeases",
    "TokenRequest",
    "WindowedMaximum",
]
