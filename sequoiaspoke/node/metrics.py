"""Counters and latencies of a node, read by OpenTelemetry when it is asked.

The hot path only adds to plain counters; the metrics library reads them when
an operator's collector asks. Recording through the library on every call would
cost a good part of the half millisecond that a hop has for its decisions.
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
    """What became of the calls of this node."""

    calls: Counter[str] = field(default_factory=Counter)  # by service
    refused: Counter[str] = field(default_factory=Counter)  # by reason, not run
    unknown: Counter[str] = field(default_factory=Counter)  # by reason
    retried: Counter[str] = field(default_factory=Counter)  # by reason
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
        )
    )

    def failed(self, error: CallError) -> None:
        """Count a failure that a caller was told."""
        counter = self.refused if error.ran is Ran.NOT_RUN else self.unknown
        counter[error.code] += 1

    def observe(self, seconds: float) -> None:
        """Record how long a call took."""
        self.latency.record_value(max(1, int(seconds * MICROSECONDS)))


class Metrics:
    """The metrics page: counters of the node's parts under their names."""

    def __init__(self) -> None:
        # Imported here, since commands that need no metrics start faster and
        # smaller without the library.
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.resources import Resource
        from prometheus_client import CollectorRegistry

        self.registry = CollectorRegistry()
        self.reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self.registry
        )
        # Without a resource of its own the library looks for one on threads.
        self.provider = MeterProvider(
            [self.reader], resource=Resource.get_empty(), shutdown_on_exit=False
        )
        self.meter = self.provider.get_meter("sequoiaspoke")

    def count(self, name: str, doc: str, label: str, source: Mapping[str, int]) -> None:
        """Publish a counter that is kept elsewhere, one series for each key."""
        from opentelemetry.metrics import Observation

        def read(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(value, {label: key}) for key, value in source.items()]

        self.meter.create_observable_counter(name, [read], description=doc)

    def gauge(self, name: str, doc: str, read_value: Callable[[], float]) -> None:
        """Publish a value that is read when asked."""
        from opentelemetry.metrics import Observation

        def read(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read_value())]

        self.meter.create_observable_gauge(name, [read], description=doc)

    def latencies(self, name: str, doc: str, histogram: HdrHistogram) -> None:
        """Publish percentiles of a histogram, in seconds."""
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
        """Publish what became of the calls."""
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
        """Return the page in the collectors' text format."""
        from prometheus_client import generate_latest

        return generate_latest(self.registry)

    def close(self) -> None:
        """Free the library's readers."""
        self.provider.shutdown()
