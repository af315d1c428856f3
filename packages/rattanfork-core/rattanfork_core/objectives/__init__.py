"""Requests against their objectives, over sliding windows.

Imported by every node, so it takes no library of its own.
"""

from rattanfork_core.objectives.routes import RouteObjectives, RouteTotals
from rattanfork_core.objectives.windowed_count import WINDOWS, WindowedCount

__all__ = ["WINDOWS", "RouteObjectives", "RouteTotals", "WindowedCount"]
