"""The account of a request: its deadline and its conserved extra attempts."""

from rattanfork_core.account.account import RequestBudget
from rattanfork_core.account.budget import CallerRetryBudget
from rattanfork_core.account.callers import CallerTable
from rattanfork_core.account.context import RunContext
from rattanfork_core.account.grants import GateRetryBudget
from rattanfork_core.account.hop import LocalRequestBudget
from rattanfork_core.account.rate import RateLimit
from rattanfork_core.account.repeats import ServiceRetryBudget

__all__ = [
    "RequestBudget",
    "CallerTable",
    "LocalRequestBudget",
    "RateLimit",
    "ServiceRetryBudget",
    "GateRetryBudget",
    "CallerRetryBudget",
    "RunContext",
]
