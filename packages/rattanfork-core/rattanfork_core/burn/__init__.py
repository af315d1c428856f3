"""Burn rates of the error budgets of service-level objectives."""

from rattanfork_core.burn.meter import BurnMeter
from rattanfork_core.burn.report import BurnLine, Totals, burn_report

__all__ = ["BurnLine", "BurnMeter", "Totals", "burn_report"]
