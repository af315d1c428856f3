"""Deadlines, retry budgets and rate limits, which bound the attempts of requests."""

from rattanfork_core.budgets.caller_retry_budget import CallerRetryBudget
from rattanfork_core.budgets.caller_table import CallerTable
from rattanfork_core.budgets.gate_retry_budget import GateRetryBudget
from rattanfork_core.budgets.local_request_budget import LocalRequestBudget
from rattanfork_core.budgets.rate_limit import RateLimit
from rattanfork_core.budgets.request_budget import RequestBudget
from rattanfork_core.budgets.retry_decision import (
    RetryBudgetState,
    RetryCharge,
    RetryDecision,
)
from rattanfork_core.budgets.run_context import RunContext
from rattanfork_core.budgets.service_retry_budget import ServiceRetryBudget

__all__ = [
    "CallerRetryBudget",
    "CallerTable",
    "GateRetryBudget",
    "LocalRequestBudget",
    "RateLimit",
    "RequestBudget",
    "RetryBudgetState",
    "RetryCharge",
    "RetryDecision",
    "RunContext",
    "ServiceRetryBudget",
]
