"""The page of metrics, however often it is read."""

from teaselwall import metrics, metricspages
from teaselwall.tests import fakes


def test_the_page_is_made_at_most_every_half_second(monkeypatch):
    """Guards against clients whose requests for metrics leave no time for others."""
    clock = fakes.SteppedClock()
    recorded = metrics.Metrics()
    n_made = 0
    make = metrics.Metrics.text

    def text(source):
        nonlocal n_made
        n_made += 1
        return make(source)

    monkeypatch.setattr(metrics.Metrics, "text", text)
    page = metricspages.MetricsPage(clock, recorded)
    first = [page.text() for _ in range(100)]
    assert n_made == 1
    assert len(set(first)) == 1
    recorded.count("requests")
    clock.at_ms += metricspages.KEPT_MS
    assert b"teaselwall_requests_total 1" in page.text()
