"""Counters and latencies of a node, which OpenTelemetry reads at each scrape.

Calls only increment plain counters; the metrics library reads them when an
operator's collector scrapes the node. Recording every call through the library would
take a large share of the half millisecond that each hop may add to a call.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from sequoiaspoke.errors import Ran

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from opentelemetry.metrics import CallbackOptions

    from sequoiaspoke.errors import CallError

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0)


@dataclass
class CallCounters:
    """Counts the outcomes of the calls of this node."""

    calls: Counter[str] = field(default_factory=Counter)  # by service
    refused: Counter[str] = field(default_factory=Counter)  # by reason; not run
    unknown: Counter[str] = field(default_factory=Counter)  # by reason
    retried: Counter[str] = field(default_factory=Counter)  # by reason
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
        )
    )

    def failed(self, error: CallError) -> None:
        """Count a failure that was reported to a caller."""
        counter = self.refused if error.ran is Ran.NOT_RUN else self.unknown
        counter[error.code] += 1

    def observe(self, seconds: float) -> None:
        """Record how long a call took."""
        self.latency.record_value(max(1, int(seconds * MICROSECONDS)))


class Metrics:
    """The metrics page: the counters and gauges of the node's components."""

    def __init__(self) -> None:
        # Imported here, so that commands without metrics start faster and use less
        # memory.
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.resources import Resource
        from prometheus_client import CollectorRegistry

        self.registry = CollectorRegistry()
        self.reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self.registry
        )
        # Without an explicit resource, the library starts threads to detect one.
        self.provider = MeterProvider(
            [self.reader], resource=Resource.get_empty(), shutdown_on_exit=False
        )
        self.meter = self.provider.get_meter("sequoiaspoke")

    def count(self, name: str, doc: str, label: str, source: Mapping[str, int]) -> None:
        """Publish a mapping of counters, with one series for each key."""
        from opentelemetry.metrics import Observation

        def read(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(value, {label: key}) for key, value in source.items()]

        self.meter.create_observable_counter(name, [read], description=doc)

    def gauge(self, name: str, doc: str, read_value: Callable[[], float]) -> None:
        """Publish a value that is read at each scrape."""
        from opentelemetry.metrics import Observation

        def read(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read_value())]

        self.meter.create_observable_gauge(name, [read], description=doc)

    def latencies(self, name: str, doc: str, histogram: HdrHistogram) -> None:
        """Publish the percentiles of a histogram, in seconds."""
        from opentelemetry.metrics import Observation

        def read(_: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(
                    histogram.get_value_at_percentile(percentile) / MICROSECONDS,
                    {"quantile": f"{percentile / 100:g}"},
                )
                for percentile in PERCENTILES
            ]

        self.meter.create_observable_gauge(name, [read], description=doc)

    def calls(self, counters: CallCounters) -> None:
        """Publish the outcomes and latencies of calls."""
        self.count("sequoiaspoke_calls", "Calls answered", "service", counters.calls)
        self.count(
            "sequoiaspoke_refused",
            "Calls refused, certainly not run",
            "reason",
            counters.refused,
        )
        self.count(
            "sequoiaspoke_unknown",
            "Calls failed with an unknown outcome",
            "reason",
            counters.unknown,
        )
        self.count(
            "sequoiaspoke_retried",
            "Further attempts by the reason of the failed one",
            "reason",
            counters.retried,
        )
        self.latencies("sequoiaspoke_call_seconds", "Time to answer", counters.latency)

    def page(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        from prometheus_client import generate_latest

        return generate_latest(self.registry)

    def close(self) -> None:
        """Shut the metrics library down."""
        self.provider.shutdown()
