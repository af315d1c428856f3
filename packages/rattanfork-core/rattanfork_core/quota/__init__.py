"""Quotas of client accounts, over all nodes together."""

from rattanfork_core.quota.bound import QuotaBound
from rattanfork_core.quota.bucket import TokenBucket
from rattanfork_core.quota.equal import EqualShares
from rattanfork_core.quota.issuer import Grant, TokenIssuer
from rattanfork_core.quota.leases import TokenLeases, TokenRequest
from rattanfork_core.quota.maximum import RecentMaximum
from rattanfork_core.quota.quota import Quota, Verdict

__all__ = [
    "EqualShares",
    "Grant",
    "Quota",
    "QuotaBound",
    "RecentMaximum",
    "TokenBucket",
    "TokenIssuer",
    "TokenLeases",
    "TokenRequest",
    "Verdict",
]
