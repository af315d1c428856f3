"""Counts of requests that met or missed their objective, over sliding windows.

Imported by every node, so it must not import third-party libraries.
"""

from rattanfork_core.objectives.routes import RouteObjectives, RouteTotals
from rattanfork_core.objectives.windowed_count import WINDOWS, WindowedCount

__all__ = ["WINDOWS", "RouteObjectives", "RouteTotals", "WindowedCount"]
