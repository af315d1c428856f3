"""Metrics of a node in Prometheus text format.

The rendering library takes extra memory, so a node imports this module only when its
metrics are first scraped.
"""

from collections.abc import Callable, Iterator, Mapping

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector, CollectorRegistry
from rattanfork_core.objectives import WINDOWS, RouteObjectives

from rattanfork_node.telemetry.counters import Counters
from rattanfork_node.telemetry.durations import DurationBuckets

#: Content type of the Prometheus text format.
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class NodeCollector(Collector):
    """Collects the counters, histograms and gauges of a node.

    Parameters
    ==========

    counters : Counters
        Counters and histograms of the node.
    gauges : callable
        Returns the current gauge values by name.
    objectives : RouteObjectives
        Counts of callers' requests within the objectives of their routes.
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

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        counters = self._counters
        yield _counter(
            "rattanfork_requests",
            "Requests by outcome, route and reason",
            ["outcome", "route", "reason"],
            counters.requests,
        )
        yield _counter(
            "rattanfork_store_calls",
            "Calls to the store by kind and result",
            ["call", "result"],
            counters.store,
        )
        yield _counter(
            "rattanfork_losses",
            "Callers' requests not answered whole and in their objective",
            ["route", "cause"],
            counters.losses,
        )
        events = CounterMetricFamily(
            "rattanfork_events", "Other events by kind", labels=["kind"]
        )
        for kind, count in counters.events.items():
            events.add_metric([kind], count)
        yield events
        yield _histogram(
            "http_server_request_duration_seconds",
            "Duration of requests at the node of their caller",
            ["route", "outcome"],
            counters.durations,
        )
        yield _histogram(
            "rattanfork_run_duration_seconds",
            "Duration of runs at this node's upstream, without the queue",
            ["operation", "outcome"],
            counters.runs,
        )
        yield self._objective_requests()
        for name, value in self._gauges().items():
            yield GaugeMetricFamily(f"rattanfork_{name}", name, value=value)

    def _objective_requests(self) -> GaugeMetricFamily:
        family = GaugeMetricFamily(
            "rattanfork_objective_requests",
            "Callers' requests of the last seconds, good within the route's objective",
            labels=["route", "window", "result"],
        )
        for route, totals in self._objectives.totals():
            for window, (good, bad) in zip(WINDOWS, totals, strict=True):
                family.add_metric([route, f"{window:g}", "good"], good)
                family.add_metric([route, f"{window:g}", "bad"], bad)
        return family


def render_metrics(
    counters: Counters,
    gauges: Callable[[], dict[str, float]],
    objectives: RouteObjectives,
) -> bytes:
    """Return all metrics in Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(NodeCollector(counters, gauges, objectives))
    return generate_latest(registry)


def _counter(
    name: str,
    documentation: str,
    labels: list[str],
    counts: Mapping[tuple[str, ...], int],
) -> CounterMetricFamily:
    family = CounterMetricFamily(name, documentation, labels=labels)
    for values, count in counts.items():
        family.add_metric(values, count)
    return family


def _histogram(
    name: str, documentation: str, labels: list[str], durations: DurationBuckets
) -> HistogramMetricFamily:
    family = HistogramMetricFamily(name, documentation, labels=labels)
    for values, _, total in durations.totals():
        family.add_metric(values, durations.cumulative(values), total)
    return family
