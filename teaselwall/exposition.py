"""Metrics of a process in the Prometheus text format.

Only ``metrics.Metrics.text`` imports this module, when metrics are first fetched:
loading the library is a notable part of the start of a process.
"""

import prometheus_client
from prometheus_client import metrics_core

from teaselwall import metrics


class Collector:
    """Collector of the Prometheus client library.

    Parameters
    ----------
    source : metrics.Metrics
    """

    __slots__ = ("source",)

    def __init__(self, source):
        self.source = source

    def collect(self):
        """Yield the metric families; the registry calls it."""
        yield from self._counter_families()
        yield from self._histogram_families()

    def _counter_families(self):
        families = {}
        for (name, labels), value in self.source.counters.items():
            family = families.get(name)
            if family is None:
                family = metrics_core.CounterMetricFamily(
                    f"teaselwall_{name}", name.replace("_", " ")
                )
                families[name] = family
            family.add_sample(f"teaselwall_{name}_total", dict(labels), value)
        return families.values()

    def _histogram_families(self):
        families = {}
        for (name, labels), series in self.source.histograms.items():
            family = families.get(name)
            if family is None:
                family = metrics_core.GaugeMetricFamily(
                    f"teaselwall_{name}_ms", f"{name.replace('_', ' ')} quantiles"
                )
                families[name] = family
            for percent in metrics.QUANTILES_PERCENT:
                value_us = series.get_value_at_percentile(percent)
                quantile = {"quantile": str(percent / 100)}
                family.add_sample(
                    family.name, dict(labels) | quantile, value_us / metrics.US_PER_MS
                )
        return families.values()


def text(source):
    """Return every metric in the text exposition format, as bytes.

    Parameters
    ----------
    source : metrics.Metrics
    """
    registry = prometheus_client.CollectorRegistry()
    registry.register(Collector(source))
    return prometheus_client.generate_latest(registry)
