"""Counters and latency histograms in the Prometheus text format."""

from hdrh import histogram

MIN_DURATION_US = 1
MAX_DURATION_US = 3_600_000_000
N_SIGNIFICANT_DIGITS = 2
QUANTILES_PERCENT = (50.0, 95.0, 99.0)
US_PER_MS = 1000
MAX_SERIES = 500


class Metrics:
    """Metrics of one process.

    Each combination of name and label values is one series. Once there are
    ``MAX_SERIES`` series of counters, or as many of histograms, new combinations are
    counted under the label value ``other``, so that label values sent by callers
    cannot grow memory without bound.

    Attributes
    ----------
    counters : dict of (str, tuple) to float
        Values by name and sorted label pairs.
    histograms : dict of (str, tuple) to hdrh.histogram.HdrHistogram
        Durations in microseconds, by name and sorted label pairs.
    """

    __slots__ = ("counters", "histograms")

    def __init__(self):
        self.counters = {}
        self.histograms = {}

    def count(self, name, amount=1, **labels):
        """Increase a counter."""
        key = self._series_key(self.counters, name, labels)
        self.counters[key] = self.counters.get(key, 0) + amount

    def observe_ms(self, name, value_ms, **labels):
        """Record a duration in milliseconds."""
        key = self._series_key(self.histograms, name, labels)
        series = self.histograms.get(key)
        if series is None:
            series = histogram.HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, N_SIGNIFICANT_DIGITS
            )
            self.histograms[key] = series
        series.record_value(max(MIN_DURATION_US, int(value_ms * US_PER_MS)))

    def quantile_ms(self, name, percent, **labels):
        """Return a quantile in milliseconds, or None if the series is empty."""
        series = self.histograms.get((name, tuple(sorted(labels.items()))))
        if series is None:
            return None
        return series.get_value_at_percentile(percent) / US_PER_MS

    def total(self, name):
        """Return the sum of a counter over all label values."""
        return sum(value for key, value in self.counters.items() if key[0] == name)

    def text(self):
        """Return every metric in the text exposition format, as bytes."""
        from teaselwall import exposition

        return exposition.text(self)

    def _series_key(self, series_by_key, name, labels):
        key = (name, tuple(sorted(labels.items())))
        if key in series_by_key or len(series_by_key) < MAX_SERIES:
            return key
        return (name, tuple((label, "other") for label in sorted(labels)))
