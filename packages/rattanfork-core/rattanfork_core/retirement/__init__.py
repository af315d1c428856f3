"""Retirements of upstreams, which nodes keep for each other across restarts."""

from rattanfork_core.retirement.retirement import Retirement
from rattanfork_core.retirement.table import RetirementTable

__all__ = ["Retirement", "RetirementTable"]
