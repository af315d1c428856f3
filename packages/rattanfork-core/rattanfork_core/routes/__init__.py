"""Routes: which service a request is for, and how it may be treated."""

from rattanfork_core.routes.configuration import Configuration, ServiceConfig
from rattanfork_core.routes.route import Route, Share, importance_of
from rattanfork_core.routes.table import RouteTable
from rattanfork_core.routes.turns import WeightedTurns

__all__ = [
    "Configuration",
    "Route",
    "RouteTable",
    "ServiceConfig",
    "Share",
    "WeightedTurns",
    "importance_of",
]
