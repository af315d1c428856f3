"""Serves a node's metrics as text."""

from collections.abc import Callable

from rattanfork_core.objectives import RouteObjectives

from rattanfork_node.http1 import Exchange
from rattanfork_node.http1.handler import RequestHandler
from rattanfork_node.telemetry import Counters

PATH = "/metrics"


class MetricsHandler(RequestHandler):
    """Answers with all metrics.

    Parameters
    ==========

    counters : Counters
        What is counted.
    gauges : callable
        Returns the present values of gauges by name.
    objectives : RouteObjectives
        Callers' requests against the objectives of their routes.
    """

    def __init__(
        self,
        counters: Counters,
        gauges: Callable[[], dict[str, float]],
        objectives: RouteObjectives,
    ) -> None:
        self._counters = counters
        self._gauges = gauges
        self._objectives = objectives

    def on_request(self, exchange: Exchange) -> None:
        """Answer."""
        if exchange.path != PATH:
            exchange.respond(404)
            return
        # Imported here: 3.5 MB and 0.06 s of processor that only nodes which
        # are asked have to spend.
        from rattanfork_node.telemetry.prometheus import CONTENT_TYPE, render_metrics

        body = render_metrics(self._counters, self._gauges, self._objectives)
        exchange.respond(200, b"Content-Type: " + CONTENT_TYPE + b"\r\n", body)
