"""Routes: the service of a request, by host and path, and its default treatment."""

from rattanfork_core.routes.configuration import Configuration, ServiceConfig
from rattanfork_core.routes.round_robin import WeightedRoundRobin
from rattanfork_core.routes.route import Route, WeightedService, importance_of_priority
from rattanfork_core.routes.table import RouteTable

__all__ = [
    "Configuration",
    "Route",
    "RouteTable",
    "ServiceConfig",
    "WeightedService",
    "WeightedRoundRobin",
    "importance_of_priority",
]
