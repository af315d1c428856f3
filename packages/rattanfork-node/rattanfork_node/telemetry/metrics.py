"""OpenTelemetry metrics of a node."""

import json
from collections.abc import Callable, Iterable

from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    InMemoryMetricReader,
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource

from rattanfork_node.telemetry.counters import Counters

#: Maximum number of durations of a service kept between two flushes; more are dropped.
_MAX_BUFFERED_DURATIONS = 20_000
_BUCKET_BOUNDS = [
    0.005,
    0.01,
    0.025,
    0.05,
    0.075,
    0.1,
    0.25,
    0.5,
    0.75,
    1,
    2.5,
    5,
    7.5,
    10,
]


class Metrics:
    """Metrics of a node, exported by OTLP and as JSON.

    Explanation
    ===========

    Names follow the OpenTelemetry semantic conventions where these define one.
    Metrics are exported by OTLP if the settings name a collector, and are always
    available as JSON from the admin port.

    Parameters
    ==========

    instance, service, data_centre : str
        Resource attributes of the node.
    counters : Counters
        Counters that the instruments read.
    gauges : callable
        Returns the current gauge values by name.
    endpoint : str or None
        URL of the OTLP collector; None to export nothing.
    interval : float
        Seconds between two exports.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        data_centre: str,
        counters: Counters,
        gauges: Callable[[], dict[str, float]],
        endpoint: str | None,
        interval: float,
    ) -> None:
        self._counters = counters
        self._gauges = gauges
        self._durations: dict[str, list[float]] = {}
        self._json_reader = InMemoryMetricReader()
        readers: list[MetricReader] = [self._json_reader]
        if endpoint:
            exporter = OTLPMetricExporter(endpoint=endpoint)
            readers.append(
                PeriodicExportingMetricReader(
                    exporter, export_interval_millis=interval * 1000
                )
            )
        resource = Resource.create(
            {
                "service.name": service,
                "service.instance.id": instance,
                "cloud.availability_zone": data_centre,
            }
        )
        self._provider = MeterProvider(metric_readers=readers, resource=resource)
        self._create_instruments()

    def record_duration(self, service: str, seconds: float) -> None:
        """Buffer the duration of a caller's request for the histogram."""
        durations = self._durations.get(service)
        if durations is None:
            durations = self._durations[service] = []
        if len(durations) < _MAX_BUFFERED_DURATIONS:
            durations.append(seconds)

    def flush(self) -> None:
        """Record buffered durations in the histogram, off the request path."""
        for service, durations in self._durations.items():
            attributes = {"server.address": service}
            for seconds in durations:
                self._histogram.record(seconds, attributes)
            durations.clear()

    def as_json(self) -> str:
        """Return all metrics as JSON."""
        self.flush()
        data = self._json_reader.get_metrics_data()
        return data.to_json() if data is not None else json.dumps({})

    def close(self) -> None:
        """Export remaining values and shut down."""
        self._provider.shutdown()

    def _create_instruments(self) -> None:
        meter = self._provider.get_meter("rattanfork")
        self._histogram = meter.create_histogram(
            "http.server.request.duration",
            unit="s",
            description="Duration of callers' requests",
            explicit_bucket_boundaries_advisory=_BUCKET_BOUNDS,
        )
        meter.create_observable_counter(
            "rattanfork.requests",
            [self._observe_requests],
            unit="{request}",
            description="Callers' requests by outcome, importance and reason",
        )
        meter.create_observable_counter(
            "rattanfork.calls",
            [self._observe_calls],
            unit="{call}",
            description="Calls at the guard by outcome and reason",
        )
        meter.create_observable_counter(
            "rattanfork.events",
            [self._observe_events],
            unit="{event}",
            description="Other events by kind",
        )
        meter.create_observable_gauge(
            "rattanfork.state",
            [self._observe_gauges],
            description="Present state by name",
        )

    def _observe_requests(self, _: CallbackOptions) -> Iterable[Observation]:
        for (outcome, importance, reason), count in self._counters.requests.items():
            labels = {"outcome": outcome, "importance": importance, "reason": reason}
            yield Observation(count, labels)

    def _observe_calls(self, _: CallbackOptions) -> Iterable[Observation]:
        for (outcome, reason), count in self._counters.calls.items():
            yield Observation(count, {"outcome": outcome, "reason": reason})

    def _observe_events(self, _: CallbackOptions) -> Iterable[Observation]:
        for kind, count in self._counters.events.items():
            yield Observation(count, {"kind": kind})

    def _observe_gauges(self, _: CallbackOptions) -> Iterable[Observation]:
        for name, value in self._gauges().items():
            yield Observation(value, {"name": name})
