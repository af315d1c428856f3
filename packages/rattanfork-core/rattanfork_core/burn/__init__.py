"""How fast service-level objectives are spent."""

from rattanfork_core.burn.meter import BurnMeter
from rattanfork_core.burn.report import BurnLine, burn_report
from rattanfork_core.burn.window import WindowedCount

__all__ = ["BurnLine", "BurnMeter", "WindowedCount", "burn_report"]
