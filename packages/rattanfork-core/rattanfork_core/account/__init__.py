"""The account of a request: its deadline and its conserved extra attempts."""

from rattanfork_core.account.account import Account
from rattanfork_core.account.budget import RetryBudget
from rattanfork_core.account.callers import CallerBook
from rattanfork_core.account.context import RunContext
from rattanfork_core.account.grants import RepeatGrants
from rattanfork_core.account.hop import HopAccount
from rattanfork_core.account.rate import RateLimit
from rattanfork_core.account.repeats import RepeatBudget

__all__ = [
    "Account",
    "CallerBook",
    "HopAccount",
    "RateLimit",
    "RepeatBudget",
    "RepeatGrants",
    "RetryBudget",
    "RunContext",
]
