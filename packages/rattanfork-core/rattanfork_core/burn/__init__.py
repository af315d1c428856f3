"""How fast service-level objectives are spent."""

from rattanfork_core.burn.meter import BurnMeter
from rattanfork_core.burn.report import BurnLine, Totals, burn_report

__all__ = ["BurnLine", "BurnMeter", "Totals", "burn_report"]
