"""What an upstream advertises in its responses: a rate limit, and that it leaves."""

from rattanfork_core.advertised.headers import parse_leaving, parse_rate_limit
from rattanfork_core.advertised.rate_limit import AdvertisedRateLimit
from rattanfork_core.advertised.report import UpstreamReport
from rattanfork_core.advertised.table import UpstreamReportTable

__all__ = [
    "AdvertisedRateLimit",
    "UpstreamReport",
    "UpstreamReportTable",
    "parse_leaving",
    "parse_rate_limit",
]
